// Measures membership in fake time and writes an HTML report with plots.
#include "experiments.h"
#include "page.h"

// An exception that reaches main ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace hallpier::report;
  return RunReport(argc, argv, "Membership of controllers, measured",
                   "Simulated nodes in fake time, not real machines: three controllers; a tenth of "
                   "the runs where a run is an hour. Off: the leader's lease alone.",
                   MeasureMembership);
}
