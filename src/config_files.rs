//! The files that a process is configured by: the configuration file and the operators' file.
//!
//! Both are read before either takes effect. The errors of both are reported together.

use std::io;
use std::path::PathBuf;

use clap::Args;
use pipittack::api::Settings;
use pipittack::operator_settings::{OperatorSettings, OperatorSettingsFileError};
use pipittack::settings::{Config, ConfigError, LoadedConfig};

/// Paths of the files.
#[derive(Args)]
pub struct ConfigFiles {
    /// The configuration file
    #[arg(long = "config", env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// The operators' settings, as S-expressions; without it, the defaults
    #[arg(long, env = "GW_OPERATORS", value_name = "FILE")]
    operators: Option<PathBuf>,
}

/// A configuration file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// Its content is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Invalid { path: PathBuf, source: ConfigError },
}

/// Files that cannot be used together as a configuration.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The configuration file has an error.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The operators' file has errors.
    #[error(transparent)]
    Operators(#[from] OperatorSettingsFileError),
    /// Both files have errors.
    #[error("{config}\n{operators}")]
    Both { config: ConfigFileError, operators: OperatorSettingsFileError },
}

impl ConfigFiles {
    /// Loads the files for a process that starts.
    ///
    /// # Errors
    ///
    /// Names the file and what is wrong in it, for each file with an error.
    pub fn load(&self) -> Result<LoadedConfig, LoadError> {
        self.load_with(Config::read)
    }

    /// Loads the files to replace a configuration in force.
    ///
    /// # Errors
    ///
    /// As [`Self::load`], and where a key of the configuration in force is missing.
    pub fn load_replacement(&self, current: &Config) -> Result<LoadedConfig, LoadError> {
        self.load_with(|text| current.read_replacement(text))
    }

    fn load_with(
        &self,
        parse: impl FnOnce(&str) -> Result<LoadedConfig, ConfigError>,
    ) -> Result<LoadedConfig, LoadError> {
        let loaded = self.read_config(parse);
        let operator_settings = OperatorSettings::load(self.operators.as_deref());
        match (loaded, operator_settings) {
            (Ok(loaded), Ok(OperatorSettings { failover })) => {
                Ok(LoadedConfig { settings: Settings { failover, ..loaded.settings }, ..loaded })
            }
            (Err(config), Ok(_)) => Err(LoadError::Config(config)),
            (Ok(_), Err(operators)) => Err(LoadError::Operators(operators)),
            (Err(config), Err(operators)) => Err(LoadError::Both { config, operators }),
        }
    }

    fn read_config(
        &self,
        parse: impl FnOnce(&str) -> Result<LoadedConfig, ConfigError>,
    ) -> Result<LoadedConfig, ConfigFileError> {
        let path = || self.config.clone();
        let text = std::fs::read_to_string(&self.config)
            .map_err(|source| ConfigFileError::Unreadable { path: path(), source })?;
        parse(&text).map_err(|source| ConfigFileError::Invalid { path: path(), source })
    }
}
