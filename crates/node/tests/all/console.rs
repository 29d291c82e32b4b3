//! The console, by the HTML that it answers.

mod access;
mod browser;
mod drafts;
mod hostile;
mod pages;
mod sending;
