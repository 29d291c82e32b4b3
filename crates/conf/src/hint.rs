//! Suggests known names in place of an unknown one.

/// Returns the candidate with the smallest edit distance to `name`, if `name` may be a misspelling
/// of it.
#[must_use]
pub fn nearest<'a>(name: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const MAX_DISTANCE: usize = 3;
    let limit = (name.chars().count() / 2).clamp(1, MAX_DISTANCE);
    candidates
        .into_iter()
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns a sentence that suggests the candidate nearest to `name`, or else lists the candidates
/// if there are only a few.
#[must_use]
pub fn suggest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str> + Clone,
) -> Option<String> {
    const MAX_LISTED: usize = 8;
    if let Some(candidate) = nearest(name, candidates.clone()) {
        return Some(format!("did you mean `{candidate}`?"));
    }
    let names: Vec<String> = candidates
        .into_iter()
        .map(|candidate| format!("`{candidate}`"))
        .collect();
    let is_short = (1..=MAX_LISTED).contains(&names.len());
    is_short.then(|| format!("expected one of {}", names.join(", ")))
}

/// Returns the Levenshtein distance: the number of characters to insert, remove or replace.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, l) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, r) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(l != *r);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
