//! SVG plot of the policy measurement.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::series::DashedLineSeries;
use plotters::style::Color;

use crate::MeasureResult;
use crate::point::Fault;
use crate::policy::PointResult;
use crate::policy::ScenarioResults;
use crate::summary::Summary;

const SIZE: (u32, u32) = (900, 420);
const COLOURS: [RGBColor; 4] = [
    RGBColor(20, 90, 160),
    RGBColor(200, 110, 20),
    RGBColor(30, 130, 60),
    RGBColor(90, 90, 90),
];

/// A curve of the plot: its label, and its value at a point.
struct Curve {
    name: String,
    value: Box<dyn Fn(&Summary) -> f64>,
}

/// Plots attainment and goodput over scaled demand without faults; the baseline is dashed.
pub(crate) fn write(results: &ScenarioResults, out: &Path) -> MeasureResult<()> {
    let file = out.join(format!("{}.svg", results.scenario.name));
    let root = SVGBackend::new(&file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!(
                "{}: scaled demand, no fault (baseline dashed)",
                results.scenario.name
            ),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.6..2.6, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("demand, times capacity")
        .y_desc("percent")
        .draw()?;
    let rows: Vec<&PointResult> = results
        .rows
        .iter()
        .filter(|row| row.fault == Fault::None && !row.demand.flood)
        .collect();
    for (curve, colour) in curves(results).into_iter().zip(COLOURS) {
        let at = |row: &PointResult, summary: &Summary| (row.demand.level, (curve.value)(summary));
        let ours: Vec<_> = rows.iter().map(|row| at(row, &row.crocushold)).collect();
        let theirs: Vec<_> = rows.iter().map(|row| at(row, &row.baseline)).collect();
        let line = colour.stroke_width(2);
        chart.draw_series(ours.iter().map(|&at| Circle::new(at, 3, colour.filled())))?;
        chart
            .draw_series(LineSeries::new(ours, line))?
            .label(curve.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], line));
        chart.draw_series(DashedLineSeries::new(theirs, 5, 4, colour.stroke_width(1)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(RGBColor(180, 180, 180))
        .draw()?;
    root.present()?;
    Ok(())
}

fn curves(results: &ScenarioResults) -> Vec<Curve> {
    let scenario = &results.scenario;
    let lowest_model_class = scenario.lowest_model_class();
    let mut curves = Vec::new();
    for (index, class) in scenario.classes[..lowest_model_class].iter().enumerate() {
        curves.push(Curve {
            name: format!("{} attained", class.name),
            value: Box::new(move |s| s.classes[index].attainment().unwrap_or(0.0)),
        });
    }
    let capacity = results.capacity;
    curves.push(Curve {
        name: format!(
            "{} share of tokens",
            scenario.classes[lowest_model_class].name
        ),
        value: Box::new(move |s| s.token_share(lowest_model_class)),
    });
    curves.push(Curve {
        name: "goodput, of capacity".to_owned(),
        value: Box::new(move |s| 100.0 * s.goodput / capacity),
    });
    curves
}
