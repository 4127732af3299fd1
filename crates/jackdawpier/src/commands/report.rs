//! `jackdawpier report`: daily figures as a table and an SVG plot.

use std::path::Path;

use plotters::{drawing::DrawingAreaErrorKind, prelude::*};
use serde::Deserialize;

use crate::{
    args::{Common, Output},
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

const PLOT_SIZE_PX: (u32, u32) = (720, 400);
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Sums of one day, as returned by an entry.
#[derive(Debug, Deserialize)]
struct DaySums {
    day: u64,
    buffer_instance_s: f64,
    observed_s: f64,
    moves: u64,
    waves: u64,
    roll_out_s: f64,
}

impl DaySums {
    /// Returns the mean number of spare instances over the observed part of the day.
    fn mean_buffer(&self) -> f64 {
        self.buffer_instance_s / self.observed_s.max(1.0)
    }

    /// Returns the mean duration of a wave in minutes.
    fn mean_roll_out_min(&self) -> f64 {
        self.roll_out_s / SECONDS_PER_MINUTE / (self.waves.max(1) as f64)
    }
}

/// Error while drawing into a file.
type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// A line of the plot: label, colour and points.
type Series = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Prints the last `count` days and, if `svg` is given, plots them into that file.
pub(crate) fn run(
    client: &Client,
    common: &Common,
    svg: Option<&Path>,
    count: usize,
) -> Result<ExitStatus, Failure> {
    let answer = client.get("/v1/days")?;
    if answer.status != 200 {
        eprintln!("{}next: try again in a few seconds", render::cell(&answer.body));
        return Ok(ExitStatus::Unavailable);
    }
    let days: Vec<DaySums> = serde_json::from_value(answer.body.clone())
        .map_err(|error| Failure::InvalidAnswer { detail: error.to_string() })?;
    let recent_days = &days[days.len().saturating_sub(count)..];
    match common.output {
        Output::Json => println!("{}", answer.body),
        Output::Table => print_table(recent_days),
    }
    if let Some(file) = svg {
        draw(file, recent_days).map_err(|error| Failure::BadInput {
            findings: format!("{}: {error}\nnext: give a writable file", file.display()),
        })?;
    }
    Ok(ExitStatus::Success)
}

fn print_table(days: &[DaySums]) {
    let mut table = render::empty_table(&[
        "day",
        "mean buffer",
        "moves",
        "waves",
        "roll-out min",
        "observed h",
    ]);
    for day in days {
        table.add_row([
            day.day.to_string(),
            format!("{:.1}", day.mean_buffer()),
            day.moves.to_string(),
            day.waves.to_string(),
            format!("{:.1}", day.mean_roll_out_min()),
            format!("{:.1}", day.observed_s / SECONDS_PER_MINUTE / SECONDS_PER_MINUTE),
        ]);
    }
    println!("{table}\ndays are counted from 1970-01-01");
}

fn draw(file: &Path, days: &[DaySums]) -> Result<(), DrawError> {
    let first_day = days.first().map_or(0, |day| day.day) as f64;
    let last_day = days.last().map_or(0, |day| day.day) as f64;
    let series: [Series; 3] = [
        ("mean buffer", BLUE, points(days, DaySums::mean_buffer)),
        ("moves", RED, points(days, |day| day.moves as f64)),
        ("roll-out, minutes", GREEN, points(days, DaySums::mean_roll_out_min)),
    ];
    let all_points = series.iter().flat_map(|(_, _, points)| points);
    let y_max = all_points.map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(file, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(first_day - 0.5..last_day + 0.5, 0.0..y_max)?;
    chart.configure_mesh().x_desc("days since 1970-01-01").draw()?;
    for (name, colour, points) in series {
        chart
            .draw_series(LineSeries::new(points.clone(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
        chart.draw_series(points.into_iter().map(|at| Circle::new(at, 3, colour.filled())))?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn points(days: &[DaySums], value: impl Fn(&DaySums) -> f64) -> Vec<(f64, f64)> {
    days.iter().map(|day| (day.day as f64, value(day))).collect()
}
