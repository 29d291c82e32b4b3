//! Tests of the console, based on the HTML of its responses.

mod access;
mod browser;
mod drafts;
mod hostile;
mod pages;
mod sending;
