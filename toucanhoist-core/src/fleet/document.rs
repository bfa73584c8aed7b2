use serde::de::DeserializeOwned;

use crate::{Error, error::Fault};

/// Parses a JSON document.
///
/// # Errors
///
/// The first fault, with the JSON pointer to the value and, for an unknown field, the most similar
/// known name.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let problem = error.inner().to_string();
        let nearest = nearest_field(&problem);
        Error::document(vec![Fault {
            pointer: pointer(error.path()),
            problem: problem.into(),
            nearest,
        }])
    })?;
    reader.end().map_err(|error| {
        let problem = error.to_string().into();
        Error::document(vec![Fault { pointer: "".into(), problem, nearest: None }])
    })?;
    Ok(value)
}

fn pointer(path: &serde_path_to_error::Path) -> Box<str> {
    use serde_path_to_error::Segment;

    let mut pointer = String::new();
    for segment in path {
        let segment = match segment {
            Segment::Seq { index } => index.to_string(),
            Segment::Map { key } => key.replace('~', "~0").replace('/', "~1"),
            Segment::Enum { variant } => variant.clone(),
            Segment::Unknown => continue,
        };
        pointer.push('/');
        pointer.push_str(&segment);
    }
    pointer.into()
}

/// Returns the known name most similar to an unknown one, both taken from the text of serde's
/// error.
fn nearest_field(problem: &str) -> Option<Box<str>> {
    if !problem.starts_with("unknown ") {
        return None;
    }
    let mut quoted = problem.split('`').skip(1).step_by(2);
    let found = quoted.next()?;
    nearest(found, quoted)
}

/// Returns the candidate most similar to `found`, if any is similar enough.
pub(super) fn nearest<'a>(
    found: &str,
    candidates: impl Iterator<Item = &'a str>,
) -> Option<Box<str>> {
    const SIMILARITY_MIN: f64 = 0.6;
    candidates
        .map(|candidate| (strsim::jaro_winkler(found, candidate), candidate))
        .filter(|&(similarity, _)| similarity >= SIMILARITY_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate.into())
}
