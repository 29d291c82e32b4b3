//! The location of a host: its region and data centre.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::RegionId;

/// A location, given by a region and one of its data centres.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Place {
    /// The region. Traffic between regions is billed by volume.
    pub region: RegionId,
    /// The data centre within the region.
    pub data_centre: DataCentreId,
}

impl Place {
    /// Creates a place from the names of its region and data centre.
    #[must_use]
    pub fn new(region: impl Into<RegionId>, data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            region: region.into(),
            data_centre: data_centre.into(),
        }
    }
}
