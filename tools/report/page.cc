#include "page.h"

#include <ctemplate/template.h>
#include <fmt/format.h>
#include <plplot/plstream.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace hallpier::report {
namespace {

constexpr PLINT kBlack = 15;
// Colors of the series, in order: red, blue, green.
constexpr PLINT kColors[] = {1, 9, 3};

struct Curve {
  std::vector<PLFLT> x, median, p90;
};

Curve CurveOf(const Experiment& experiment, size_t series) {
  Curve curve;
  for (const Point& point : experiment.points) {
    curve.x.push_back(point.x);
    curve.median.push_back(point.values.at(series).median);
    curve.p90.push_back(point.values.at(series).p90);
  }
  return curve;
}

std::string Legend(const Experiment& experiment) {
  static constexpr const char* kNames[] = {"red", "blue", "green"};
  std::string legend;
  for (size_t i = 0; i < experiment.series.size(); ++i) {
    legend += fmt::format("{}: {}{}", kNames[i], experiment.series[i],
                          i + 1 < experiment.series.size() ? ", " : "; ");
  }
  return legend + "solid: median, dashed: 90 %";
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
  for (const Summary& summary : point.values) {
    ctemplate::TemplateDictionary* cells = row->AddSectionDictionary("VALUE");
    SetNumber(cells, "MEDIAN", summary.median);
    SetNumber(cells, "P90", summary.p90);
    SetNumber(cells, "P99", summary.p99);
    cells->SetIntValue("SAMPLES", static_cast<long>(summary.samples));
  }
}

}  // namespace

void DrawPlot(const Experiment& experiment, const std::string& folder) {
  std::vector<Curve> curves;
  double highest = 0;
  for (size_t i = 0; i < experiment.series.size(); ++i) {
    curves.push_back(CurveOf(experiment, i));
    const Curve& curve = curves.back();
    highest = std::max(highest, *std::max_element(curve.p90.begin(), curve.p90.end()));
  }
  const std::vector<PLFLT>& x = curves.front().x;
  plstream plot;
  plot.sdev("svg");
  plot.sfnam((folder + "/" + experiment.name + ".svg").c_str());
  plot.scolbg(255, 255, 255);
  plot.scol0(kBlack, 0, 0, 0);
  plot.init();
  plot.col0(kBlack);
  plot.env(*std::min_element(x.begin(), x.end()), *std::max_element(x.begin(), x.end()), 0,
           highest > 0 ? highest * 1.1 : 1, 0, 0);
  plot.lab(experiment.x_label.c_str(), experiment.y_label.c_str(), Legend(experiment).c_str());
  for (size_t i = 0; i < curves.size(); ++i) DrawCurve(plot, curves[i], kColors[i]);
}

bool WritePage(const Page& contents, const std::string& folder) {
  ctemplate::TemplateDictionary page("report");
  page.SetValue("TITLE", Text(contents.title));
  page.SetValue("INTRODUCTION", Text(contents.introduction));
  for (const Experiment& experiment : contents.experiments) {
    ctemplate::TemplateDictionary* section = page.AddSectionDictionary("EXPERIMENT");
    section->SetValue("NAME", Text(experiment.name));
    section->SetValue("TITLE", Text(experiment.title));
    section->SetValue("X_LABEL", Text(experiment.x_label));
    section->SetValue("EXPLANATION", Text(experiment.explanation));
    for (const std::string& series : experiment.series) {
      section->AddSectionDictionary("SERIES")->SetValue("LABEL", Text(series));
    }
    for (const Point& point : experiment.points) {
      FillRow(section->AddSectionDictionary("POINT"), point);
    }
  }
  std::string html;
  if (!ctemplate::ExpandTemplate(contents.template_file, ctemplate::STRIP_BLANK_LINES, &page,
                                 &html)) {
    return false;
  }
  std::ofstream out(folder + "/index.html", std::ios::binary);
  out << html;
  return out.good();
}

void Print(const Experiment& experiment) {
  std::printf("%s\n", experiment.title.c_str());
  for (const Point& point : experiment.points) {
    std::string line = fmt::format("  {:8.3g}", point.x);
    for (size_t i = 0; i < point.values.size(); ++i) {
      const Summary& summary = point.values[i];
      line += fmt::format("  {} {:8.3g} {:8.3g} {:8.3g}", experiment.series[i], summary.median,
                          summary.p90, summary.p99);
    }
    std::printf("%s\n", line.c_str());
  }
}

}  // namespace hallpier::report
