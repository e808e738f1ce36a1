// What the membership report measures, in fake time on simulated nodes: how soon a dead leader is
// noticed and followed, and how often a living one is wronged, with membership off and on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hallpier::report {

// Quantiles of one measured quantity.
struct Summary {
  double median = 0;
  double p90 = 0;
  double p99 = 0;
  size_t samples = 0;
};

// One setting of what is varied, with membership off and on.
struct Point {
  double x = 0;
  Summary off, on;
};

struct Experiment {
  std::string name;  // file name of its plot
  std::string title;
  std::string x_label, y_label;
  std::string explanation;
  std::vector<Point> points;
};

struct Effort {
  int runs = 100;     // for each point
  uint64_t seed = 1;  // of the first run
};

std::vector<Experiment> MeasureAll(const Effort& effort);

}  // namespace hallpier::report
