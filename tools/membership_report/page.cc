#include "page.h"

#include <ctemplate/template.h>
#include <fmt/format.h>
#include <plplot/plstream.h>

#include <algorithm>
#include <fstream>

namespace hallpier::report {
namespace {

constexpr PLINT kBlack = 15, kOffColor = 1, kOnColor = 9;

struct Curve {
  std::vector<PLFLT> x, median, p90;
};

Curve CurveOf(const Experiment& experiment, Summary Point::*side) {
  Curve curve;
  for (const Point& point : experiment.points) {
    curve.x.push_back(point.x);
    curve.median.push_back((point.*side).median);
    curve.p90.push_back((point.*side).p90);
  }
  return curve;
}

void DrawCurve(plstream& plot, const Curve& curve, PLINT color) {
  const auto n = static_cast<PLINT>(curve.x.size());
  plot.col0(color);
  plot.lsty(1);
  plot.line(n, curve.x.data(), curve.median.data());
  plot.poin(n, curve.x.data(), curve.median.data(), 4);
  plot.lsty(2);
  plot.line(n, curve.x.data(), curve.p90.data());
}

ctemplate::TemplateString Text(const std::string& text) { return {text.data(), text.size()}; }

void SetNumber(ctemplate::TemplateDictionary* row, const char* name, double value) {
  row->SetValue(name, Text(fmt::format("{:.3g}", value)));
}

void FillRow(ctemplate::TemplateDictionary* row, const Point& point) {
  SetNumber(row, "X", point.x);
  SetNumber(row, "OFF_MEDIAN", point.off.median);
  SetNumber(row, "OFF_P90", point.off.p90);
  SetNumber(row, "OFF_P99", point.off.p99);
  SetNumber(row, "ON_MEDIAN", point.on.median);
  SetNumber(row, "ON_P90", point.on.p90);
  SetNumber(row, "ON_P99", point.on.p99);
  row->SetIntValue("SAMPLES", static_cast<long>(point.on.samples));
}

}  // namespace

void DrawPlot(const Experiment& experiment, const std::string& folder) {
  const Curve off = CurveOf(experiment, &Point::off);
  const Curve on = CurveOf(experiment, &Point::on);
  double highest = 0;
  for (const Curve* curve : {&off, &on}) {
    highest = std::max(highest, *std::max_element(curve->p90.begin(), curve->p90.end()));
  }
  const double least = *std::min_element(on.x.begin(), on.x.end());
  const double most = *std::max_element(on.x.begin(), on.x.end());
  plstream plot;
  plot.sdev("svg");
  plot.sfnam((folder + "/" + experiment.name + ".svg").c_str());
  plot.scolbg(255, 255, 255);
  plot.scol0(kBlack, 0, 0, 0);
  plot.init();
  plot.col0(kBlack);
  plot.env(least, most, 0, highest > 0 ? highest * 1.1 : 1, 0, 0);
  plot.lab(experiment.x_label.c_str(), experiment.y_label.c_str(),
           "red: off, blue: on; solid: median, dashed: 90 %");
  DrawCurve(plot, off, kOffColor);
  DrawCurve(plot, on, kOnColor);
}

bool WritePage(const std::vector<Experiment>& experiments, const Effort& effort,
               const std::string& template_file, const std::string& folder) {
  ctemplate::TemplateDictionary page("membership");
  page.SetIntValue("RUNS", effort.runs);
  page.SetValue("SEED", Text(std::to_string(effort.seed)));
  for (const Experiment& experiment : experiments) {
    ctemplate::TemplateDictionary* section = page.AddSectionDictionary("EXPERIMENT");
    section->SetValue("NAME", Text(experiment.name));
    section->SetValue("TITLE", Text(experiment.title));
    section->SetValue("X_LABEL", Text(experiment.x_label));
    section->SetValue("EXPLANATION", Text(experiment.explanation));
    for (const Point& point : experiment.points) {
      FillRow(section->AddSectionDictionary("POINT"), point);
    }
  }
  std::string html;
  if (!ctemplate::ExpandTemplate(template_file, ctemplate::STRIP_BLANK_LINES, &page, &html)) {
    return false;
  }
  std::ofstream out(folder + "/index.html", std::ios::binary);
  out << html;
  return out.good();
}

}  // namespace hallpier::report
