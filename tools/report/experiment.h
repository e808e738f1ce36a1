// What a report holds: for each experiment, a quantity in several series over what is varied.
#pragma once

#include <boost/histogram.hpp>
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

// One setting of what is varied, with a summary for each series of its experiment.
struct Point {
  double x = 0;
  std::vector<Summary> values;
};

struct Experiment {
  std::string name;  // file name of its plot
  std::string title;
  std::string x_label, y_label;
  std::string explanation;
  std::vector<std::string> series;
  std::vector<Point> points;
};

struct Effort {
  int runs = 100;     // for each point
  uint64_t seed = 1;  // of the first run
};

// Bins of a quantity; what lies beyond counts as the most.
struct Scale {
  double most;
  unsigned bins;
};

class Samples {
 public:
  explicit Samples(Scale scale);
  void Add(double value);
  Summary Summarize() const;

 private:
  using Axis = boost::histogram::axis::regular<>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  // The lower edge of the bin in which the quantile lies.
  double Quantile(double q) const;

  const double most_;
  Histogram histogram_;
  size_t count_ = 0;
};

}  // namespace hallpier::report
