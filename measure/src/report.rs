//! Results and goals of a measurement.

use std::{fs, io, path::PathBuf};

use {
    serde::Serialize,
    serde_json::{Map, Value},
};

use crate::page;

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Whether the report is printed as JSON.
    pub json: bool,
    /// Directory for the report as JSON and a page with plots.
    pub report: Option<PathBuf>,
}

/// Results of a measurement as rows, and its goals.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    rows: Vec<Map<String, Value>>,
    goals: Vec<Goal>,
    #[serde(skip)]
    curves: Vec<Curve>,
}

/// A curve of a plot.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Name in the legend.
    pub name: &'static str,
    /// Points, in the order of their first coordinate.
    pub points: Vec<(f64, f64)>,
}

/// A goal and whether the measurement met it.
#[derive(Clone, Debug, Serialize)]
pub struct Goal {
    name: Box<str>,
    bound: f64,
    measured: f64,
    held: bool,
}

impl Report {
    /// Adds a row of named values.
    pub fn add_row<const N: usize>(&mut self, values: [(&str, Value); N]) {
        self.rows.push(values.into_iter().map(|(name, value)| (name.into(), value)).collect());
    }

    /// Adds a goal that is met if `measured` is at most `bound`.
    pub fn at_most(&mut self, name: &str, bound: f64, measured: f64) {
        self.goals.push(Goal { name: name.into(), bound, measured, held: measured <= bound });
    }

    /// Adds a goal that is met if `measured` is at least `bound`.
    pub fn at_least(&mut self, name: &str, bound: f64, measured: f64) {
        self.goals.push(Goal { name: name.into(), bound, measured, held: measured >= bound });
    }

    /// Adds curves to the plot of the page.
    pub fn add_curves(&mut self, curves: impl IntoIterator<Item = Curve>) {
        self.curves.extend(curves);
    }

    /// Prints the report, writes it to the directory of `options`, and returns whether all goals
    /// were met.
    ///
    /// # Errors
    ///
    /// The files cannot be written.
    pub fn publish(&self, name: &str, options: &Options) -> io::Result<bool> {
        if options.json {
            println!("{}", serde_json::to_string(self)?);
        } else {
            print!("{}", self.to_text());
        }
        if let Some(dir) = &options.report {
            fs::create_dir_all(dir)?;
            fs::write(dir.join(format!("{name}.json")), serde_json::to_vec_pretty(self)?)?;
            let page = page::html(name, &self.to_text(), &self.curves);
            fs::write(dir.join(format!("{name}.html")), page)?;
        }
        Ok(self.goals.iter().all(|goal| goal.held))
    }

    fn to_text(&self) -> String {
        let mut columns: Vec<&str> = Vec::new();
        for name in self.rows.iter().flat_map(Map::keys) {
            if !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
        let cell = |row: &Map<String, Value>, column: &str| match row.get(column) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "-".into(),
        };
        let width = |column: &str| {
            let cells = self.rows.iter().map(|row| cell(row, column).len());
            cells.max().unwrap_or(0).max(column.len())
        };
        let widths: Vec<usize> = columns.iter().map(|column| width(column)).collect();
        let line = |cells: Vec<String>| {
            let padded: Vec<String> =
                cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}")).collect();
            padded.join("  ") + "\n"
        };
        let mut text = line(columns.iter().map(|&column| column.to_owned()).collect());
        for row in &self.rows {
            text += &line(columns.iter().map(|column| cell(row, column)).collect());
        }
        for goal in &self.goals {
            let verdict = if goal.held { "held" } else { "MISSED" };
            text += &format!(
                "goal {}: bound {}, measured {:.4}: {verdict}\n",
                goal.name, goal.bound, goal.measured
            );
        }
        text
    }
}
