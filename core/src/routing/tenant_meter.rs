//! Request rate and error share of each tenant.
//!
//! If the error share of one tenant is many times that of the others, the errors count as the tenant's own:
//! the servers are not blamed, and the tenant's failed requests are not retried.

use crate::api::{Outcome, Settings, TenantId};
use crate::ewma::Ewma;

use super::ATTEMPT_EWMA;

/// Time constant in seconds of a tenant's average request rate.
const RATE_WINDOW_SECS: f64 = 2.0;
/// Error share below which errors never count as the tenant's own.
const MIN_OWN_ERROR_SHARE: f64 = 0.15;
/// Multiple of the other tenants' mean error share at or above which errors count as the tenant's own.
const OWN_ERROR_FACTOR: f64 = 4.0;
/// Added to the number of other tenants when their error shares are averaged, so that the divisor is never 0.
const PRIOR_TENANTS: f64 = 0.1;

#[derive(Default, Clone)]
struct TenantMeter {
    errors: Ewma,
    requests_per_s: f64,
    last_request_at: f64,
}

impl TenantMeter {
    fn error_share(&self, now: f64) -> f64 {
        self.errors.estimate(now, 0.0, &ATTEMPT_EWMA)
    }
}

/// Request rates and error shares of all tenants.
pub(super) struct TenantMeters {
    meters: Vec<TenantMeter>,
}

/// Cause of an attempt's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ErrorSource {
    /// The server, or the connection to it.
    Server,
    /// The tenant, whose requests fail on every server.
    Tenant,
}

impl TenantMeters {
    /// Creates the meters of `tenant_count` tenants without any requests.
    pub fn new(tenant_count: usize) -> Self {
        Self { meters: vec![TenantMeter::default(); tenant_count] }
    }

    /// Changes the number of tenants.
    pub fn resize(&mut self, tenant_count: usize) {
        self.meters.resize(tenant_count, TenantMeter::default());
    }

    /// Records a request of a tenant. Returns whether the tenant exceeds its quota. The tenant's total rate
    /// is estimated as the rate at this instance times the number of instances.
    pub fn request_arrived(&mut self, tenant: TenantId, now: f64, settings: &Settings) -> bool {
        let meter = &mut self.meters[tenant.0];
        let decay = (-(now - meter.last_request_at) / RATE_WINDOW_SECS).exp();
        meter.requests_per_s = meter.requests_per_s * decay + 1.0 / RATE_WINDOW_SECS;
        meter.last_request_at = now;
        let total_rate = meter.requests_per_s * f64::from(settings.instance_count);
        total_rate > settings.tenants[tenant.0].quota_per_s
    }

    /// Records the end of an attempt of a tenant's request. Returns the cause of the outcome.
    pub fn attempt_ended(&mut self, tenant: Option<TenantId>, outcome: Outcome, now: f64) -> ErrorSource {
        let has_result = matches!(outcome, Outcome::Success | Outcome::ServerError);
        let Some(tenant) = tenant.filter(|_| has_result) else { return ErrorSource::Server };
        let is_error = f64::from(u8::from(outcome == Outcome::ServerError));
        self.meters[tenant.0].errors.record(now, is_error, &ATTEMPT_EWMA);
        let mut other_errors = 0.0;
        let mut other_tenants = PRIOR_TENANTS;
        for (_, meter) in self.meters.iter().enumerate().filter(|(index, _)| *index != tenant.0) {
            other_errors += meter.error_share(now);
            other_tenants += 1.0;
        }
        let max_share = (OWN_ERROR_FACTOR * other_errors / other_tenants).max(MIN_OWN_ERROR_SHARE);
        let own_share = self.meters[tenant.0].error_share(now);
        if outcome == Outcome::Success || own_share < max_share {
            ErrorSource::Server
        } else {
            ErrorSource::Tenant
        }
    }
}
