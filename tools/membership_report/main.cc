// Measures failure detection and leader handover in fake time and writes an HTML report with plots.
#include "experiments.h"
#include "page.h"

// An exception that reaches main() intentionally terminates the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace hallpier::report;
  return RunReport(
      argc, argv, "Membership of controllers, measured",
      "Simulated nodes in fake time, not real machines: three controllers. Experiments "
      "of one hour use a tenth of the runs. Off: the leader's lease alone.",
      MeasureMembership);
}
