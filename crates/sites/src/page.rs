//! HTML page with one plot per loss: the refused fraction of each plan and class by load.

use crate::model::Sites;
use crate::plan::plan;
use hingestage_plot::{draw, escape, Line, BLACK, BLUE, CYAN, GREEN, MAGENTA, RED};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Lowest load factor that is plotted.
const MIN_LOAD: f64 = 0.4;
/// Highest load factor that is plotted.
const MAX_LOAD: f64 = 2.0;
/// Number of load factors that are plotted.
const LOAD_POINTS: usize = 33;
/// Maximum number of sites: each has a plot.
const MAX_SITES: usize = 20;

/// Refused fraction by load factor, for each plan and class.
type Curves = BTreeMap<String, Vec<(f64, f64)>>;

/// Renders the page as HTML with embedded plots.
///
/// # Errors
/// Too many sites, a linear program without a solution, or a plot that can't be drawn.
pub fn page(sites: &Sites) -> Result<String, String> {
    if sites.sites.len() > MAX_SITES {
        return Err(format!("{} sites are too many for a page, {MAX_SITES} at most", sites.sites.len()));
    }
    let mut plots = String::new();
    for lost in std::iter::once(None).chain(sites.sites.iter().map(|site| Some(&site.name))) {
        let title = lost.map_or("nothing lost".into(), |name| format!("{name} lost"));
        let lost: Vec<String> = lost.into_iter().cloned().collect();
        let _ = writeln!(plots, "<h2>{}</h2>\n{}", escape(&title), plot(&title, &curves(sites, &lost)?)?);
    }
    Ok(format!(
        "<!doctype html><meta charset=\"utf-8\"><title>Plans for the loss of a site</title>\n\
         <h1>Plans for the loss of a site</h1>\n\
         <p>The part of each plan's and class's requests that is refused, by load: 1 is the file's own.</p>\n{plots}"
    ))
}

fn curves(sites: &Sites, lost: &[String]) -> Result<Curves, String> {
    let mut curves = Curves::new();
    for n in 0..LOAD_POINTS {
        let factor = MIN_LOAD + (MAX_LOAD - MIN_LOAD) * n as f64 / (LOAD_POINTS - 1) as f64;
        let left = sites.without(lost, factor);
        let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for placement in plan(&left)?.placements {
            let load = &left.loads[placement.load];
            let sum = sums.entry(format!("{} of {}", load.class, load.plan)).or_default();
            *sum = (sum.0 + placement.refused * load.rate, sum.1 + load.rate);
        }
        for (name, (refused, asked)) in sums {
            curves.entry(name).or_default().push((factor, refused / asked.max(f64::MIN_POSITIVE)));
        }
    }
    Ok(curves)
}

fn plot(title: &str, curves: &Curves) -> Result<String, String> {
    let colour = |n: usize| [BLACK, BLUE, RED, GREEN, MAGENTA, CYAN][n % 6];
    let lines: Vec<Line> = curves
        .iter()
        .enumerate()
        .map(|(n, (name, points))| (name.as_str(), colour(n), points.clone()))
        .collect();
    draw(title, MAX_LOAD, &[1.0], &lines)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::parse;

    #[test]
    fn page_has_a_plot_for_every_loss_and_escapes_names() {
        let text = include_str!("../../../deploy/sites.example.lisp").replace("\"c\"", "\"c<b>\"");
        let page = page(&parse(&text).unwrap()).unwrap();
        assert_eq!((page.matches("<svg").count(), page.matches("<h2>").count()), (4, 4));
        assert!(page.contains("<h2>c&lt;b&gt; lost</h2>") && !page.contains("<b>"));
    }

    #[test]
    fn refusals_grow_with_load_lowest_worth_first() {
        let sites = parse(include_str!("../../../deploy/sites.example.lisp")).unwrap();
        let curves = curves(&sites, &["a".to_owned()]).unwrap();
        for (name, points) in &curves {
            assert!(points.windows(2).all(|two| two[1].1 >= two[0].1 - 1e-6), "{name}: {points:?}");
        }
        let first = |name: &str| curves[name].iter().position(|(_, refused)| *refused > 0.01);
        let order = [first("pull of base"), first("pull of ente"), first("push of ente")];
        assert!(order[0].is_some() && order[0] < order[1].or(Some(99)), "{order:?}");
    }
}
