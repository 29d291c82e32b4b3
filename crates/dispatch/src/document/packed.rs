//! The document in the form in which hosts send it to each other.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use job::plan::Plan;
use serde::Deserialize;
use serde::Serialize;

/// Maximum size of a document, in bytes of JSON.
const MAX_JSON_BYTES: u64 = 64 << 20;

/// A compressed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedPlan {
    /// The version of the document.
    pub version: u64,
    /// The document as JSON, compressed with zlib, in Base64.
    text: Arc<str>,
}

impl PackedPlan {
    /// Compresses a document. Returns `None` if it cannot be represented in JSON.
    #[must_use]
    pub fn pack(plan: &Plan) -> Option<Self> {
        let json = serde_json::to_vec(plan).ok()?;
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&json).ok()?;
        let compressed = encoder.finish().ok()?;
        Some(Self {
            version: plan.version,
            text: STANDARD.encode(compressed).into(),
        })
    }

    /// Restores the document. Returns `None` if the text is not a valid document.
    #[must_use]
    pub fn unpack(&self) -> Option<Plan> {
        let compressed = STANDARD.decode(&*self.text).ok()?;
        let mut json = Vec::new();
        ZlibDecoder::new(&*compressed)
            .take(MAX_JSON_BYTES)
            .read_to_end(&mut json)
            .ok()?;
        serde_json::from_slice(&json).ok()
    }
}
