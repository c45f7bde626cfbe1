// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Orders to the engine, with an optional check of the fencing number.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;

/// Order to the engine; its value is the name of the model, adapter or role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Loads a model.
    LoadModel(String),
    /// Loads an adapter.
    LoadAdapter(String),
    /// Sets the role of the engine.
    SetRole(String),
}

/// Order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedOrder {
    /// Fencing number, which never decreases from one valid order to the next.
    pub fence: u64,
    /// Order to apply.
    pub order: Order,
}

/// Result of the orders applied so far.
#[derive(Debug, Default, Serialize)]
pub struct OrderState {
    /// The highest fencing number applied.
    pub highest: u64,
    /// Orders applied, oldest first.
    pub obeyed: Vec<FencedOrder>,
    /// Models that are loaded; empty if the engine serves any model.
    pub models: BTreeSet<String>,
}

impl OrderState {
    /// Applies an order and returns the highest fencing number applied.
    ///
    /// With `check_fence` it rejects a lower fencing number than before.
    ///
    /// # Errors
    ///
    /// Returns [`Error::StaleFence`] for a lower number, if that is checked.
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

    /// Returns whether a model is loaded.
    #[must_use]
    pub fn is_loaded(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }
}
