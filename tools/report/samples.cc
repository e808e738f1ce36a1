#include <algorithm>

#include "experiment.h"

namespace hallpier::report {

Samples::Samples(HistogramRange range)
    : max_(range.max),
      histogram_(boost::histogram::make_histogram(Axis(range.bins, 0.0, range.max))) {}

void Samples::Add(double value) {
  histogram_(value);
  ++count_;
}

Summary Samples::Summarize() const {
  return {Quantile(0.5), Quantile(0.9), Quantile(0.99), count_};
}

double Samples::Quantile(double q) const {
  const double target = q * static_cast<double>(count_);
  double cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    cumulative += static_cast<double>(*bin);
    if (cumulative >= target && cumulative > 0) return std::clamp(bin.bin().lower(), 0.0, max_);
  }
  return 0;
}

}  // namespace hallpier::report
