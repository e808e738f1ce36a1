#include <algorithm>

#include "experiment.h"

namespace hallpier::report {

Samples::Samples(Scale scale)
    : most_(scale.most),
      histogram_(boost::histogram::make_histogram(Axis(scale.bins, 0.0, scale.most))) {}

void Samples::Add(double value) {
  histogram_(value);
  ++count_;
}

Summary Samples::Summarize() const {
  return {Quantile(0.5), Quantile(0.9), Quantile(0.99), count_};
}

double Samples::Quantile(double q) const {
  const double wanted = q * static_cast<double>(count_);
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen >= wanted && seen > 0) return std::clamp(bin.bin().lower(), 0.0, most_);
  }
  return 0;
}

}  // namespace hallpier::report
