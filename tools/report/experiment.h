// Contents of a report. Each experiment has one or more series of a quantity measured over a varied
// parameter.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace hallpier::report {

// Quantiles of a measured quantity.
struct Summary {
  double median = 0;
  double p90 = 0;
  double p99 = 0;
  size_t samples = 0;
};

// One value of the varied parameter, with a summary for each series of the experiment.
struct Point {
  double x = 0;
  std::vector<Summary> values;
};

struct Experiment {
  std::string name;  // file name of the plot, without extension
  std::string title;
  std::string x_label, y_label;
  std::string explanation;
  std::vector<std::string> series;
  std::vector<Point> points;
};

struct RunOptions {
  int runs = 100;     // number of runs for each point
  uint64_t seed = 1;  // seed of the first run; each later run adds 1
};

// Range and number of bins of a histogram. A quantile beyond the range is reported as `max`.
struct HistogramRange {
  double max;
  unsigned bins;
};

class Samples {
 public:
  explicit Samples(HistogramRange range);
  void Add(double value);
  Summary Summarize() const;

 private:
  using Axis = boost::histogram::axis::regular<>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  // Returns the lower edge of the bin that contains the quantile.
  double Quantile(double q) const;

  const double max_;
  Histogram histogram_;
  size_t count_ = 0;
};

}  // namespace hallpier::report
