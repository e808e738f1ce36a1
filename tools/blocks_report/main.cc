// Measures the cost of dividing machines and team limits among controllers, in fake time, and
// writes an HTML report with plots.
#include "experiments.h"
#include "page.h"

// An exception that reaches main() intentionally terminates the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace hallpier::report;
  return RunReport(
      argc, argv, "Team limits across controllers, measured",
      "Simulated nodes in fake time, not real machines: three controllers, nine machines "
      "of four processors, a team limit of twelve, tasks of one processor and 4 s.",
      MeasureBlocks);
}
