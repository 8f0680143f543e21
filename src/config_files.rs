//! Loads the configuration file and the operators' file.
//!
//! Both files are read before either takes effect, and errors in both are reported together.

use std::io;
use std::path::PathBuf;

use clap::Args;
use pipittack::api::Settings;
use pipittack::operator_settings::{OperatorSettings, OperatorSettingsFileError};
use pipittack::settings::{Config, ConfigError, LoadedConfig};

/// Paths of the configuration file and the operators' file.
#[derive(Args)]
pub struct ConfigFiles {
    /// Path of the configuration file (JSON)
    #[arg(long = "config", env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// Path of the operators' file (S-expressions); without it, its settings have their defaults
    #[arg(long, env = "GW_OPERATORS", value_name = "FILE")]
    operators: Option<PathBuf>,
}

/// Error in loading the configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file's content is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Invalid { path: PathBuf, source: ConfigError },
}

/// Error in loading the configuration file, the operators' file, or both.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The configuration file cannot be loaded.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The operators' file cannot be loaded.
    #[error(transparent)]
    Operators(#[from] OperatorSettingsFileError),
    /// Neither file can be loaded.
    #[error("{config}\n{operators}")]
    Both { config: ConfigFileError, operators: OperatorSettingsFileError },
}

impl ConfigFiles {
    /// Loads the files when the process starts.
    ///
    /// # Errors
    ///
    /// Returns an error that names each invalid file and describes the problem.
    pub fn load(&self) -> Result<LoadedConfig, LoadError> {
        self.load_with(Config::parse)
    }

    /// Loads the files to replace the current configuration.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::load`] does, and if the configuration file lacks a key that a reload
    /// needs; see [`Config::parse_replacement`].
    pub fn load_replacement(&self, current: &Config) -> Result<LoadedConfig, LoadError> {
        self.load_with(|text| current.parse_replacement(text))
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
