// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Orders to the engine, with or without a check of the fencing number.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;

/// `Order` is one order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    LoadModel(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Take a role.
    SetRole(String),
}

/// `Fenced` is an order under its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedOrder {
    /// The fencing number.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// `Orders` is what the orders so far have made of the engine.
#[derive(Debug, Default, Serialize)]
pub struct OrderState {
    /// The highest fencing number seen.
    pub highest: u64,
    /// The orders obeyed, in turn.
    pub obeyed: Vec<FencedOrder>,
    /// The models loaded; empty when any is served.
    pub models: BTreeSet<String>,
}

impl OrderState {
    /// `obey` does an order; with `check` an older fencing number is refused.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OldFence`] for an older number, if that is checked.
    pub fn apply(&mut self, order: FencedOrder, check_fence: bool) -> Result<u64> {
        if check_fence && order.fence < self.highest {
            return Err(Error::StaleFence {
                highest: self.highest,
            });
        }
        self.highest = self.highest.max(order.fence);
        if let Order::LoadModel(model) = &order.order
            && !self.models.is_empty()
        {
            self.models.insert(model.clone());
        }
        self.obeyed.push(order);
        Ok(self.highest)
    }

    /// `serves` tells whether a model is loaded.
    #[must_use]
    pub fn is_loaded(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }
}
