//! The stored form of a customer. The fields are positional: their order is the one in which
//! earlier builds wrote a customer, before it was divided into modules.

use super::ceiling::CeilingAccount;
use super::owner_query::OwnerQuery;
use super::owners::Owners;
use super::quota::{QuotaAccount, ReportedUsage};
use super::Customer;
use crate::ids::{Micros, RequestId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// All fields of a customer; written from borrowed values and read into owned ones.
#[derive(Serialize, Deserialize)]
struct StoredCustomer<'a, Reported> {
    plan: usize,
    tokens: f64,
    refilled_at: Micros,
    ceiling_tokens: f64,
    used: f64,
    owner_pair: [u16; 2],
    ceiling_share: f64,
    first_gateway: u16,
    asked_units: f64,
    wants_ceiling: bool,
    asked: u16,
    pledged: f64,
    granted: f64,
    rate: f64,
    in_flight: u32,
    gateway_span: f64,
    seen_at: Micros,
    owners: Cow<'a, [u16]>,
    is_owner: bool,
    reported: Reported,
    others_rate: f64,
    others_in_flight: u32,
    updated_at: Micros,
    asked_at: Micros,
    answered: Cow<'a, [u16]>,
    waiting: Cow<'a, [RequestId]>,
}

impl Serialize for Customer {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let quota = &self.quota;
        let owners = &self.owners;
        let query = &self.query;
        let stored = StoredCustomer {
            plan: self.plan,
            tokens: quota.tokens,
            refilled_at: quota.refilled_at,
            ceiling_tokens: self.ceiling.tokens,
            used: quota.used,
            owner_pair: owners.pair,
            ceiling_share: self.ceiling.share,
            first_gateway: owners.first_gateway,
            asked_units: query.units,
            wants_ceiling: query.wants_ceiling,
            asked: query.asked,
            pledged: query.pledged,
            granted: self.ceiling.granted,
            rate: quota.rate,
            in_flight: quota.in_flight,
            gateway_span: owners.gateway_span,
            seen_at: self.seen_at,
            owners: Cow::Borrowed(&owners.all[..]),
            is_owner: owners.is_owner,
            reported: &quota.reported,
            others_rate: quota.others_rate,
            others_in_flight: quota.others_in_flight,
            updated_at: query.updated_at,
            asked_at: query.asked_at,
            answered: Cow::Borrowed(&query.answered[..]),
            waiting: Cow::Borrowed(&query.waiting[..]),
        };
        stored.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Customer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Customer, D::Error> {
        type Stored = StoredCustomer<'static, BTreeMap<u16, ReportedUsage>>;
        let stored = Stored::deserialize(deserializer)?;
        Ok(Customer {
            plan: stored.plan,
            seen_at: stored.seen_at,
            quota: QuotaAccount {
                tokens: stored.tokens,
                refilled_at: stored.refilled_at,
                used: stored.used,
                rate: stored.rate,
                in_flight: stored.in_flight,
                reported: stored.reported,
                others_rate: stored.others_rate,
                others_in_flight: stored.others_in_flight,
            },
            ceiling: CeilingAccount {
                tokens: stored.ceiling_tokens,
                share: stored.ceiling_share,
                granted: stored.granted,
            },
            owners: Owners {
                pair: stored.owner_pair,
                first_gateway: stored.first_gateway,
                gateway_span: stored.gateway_span,
                all: stored.owners.into_owned(),
                is_owner: stored.is_owner,
            },
            query: OwnerQuery {
                units: stored.asked_units,
                wants_ceiling: stored.wants_ceiling,
                asked: stored.asked,
                pledged: stored.pledged,
                updated_at: stored.updated_at,
                asked_at: stored.asked_at,
                answered: stored.answered.into_owned(),
                waiting: stored.waiting.into_owned(),
            },
        })
    }
}
