#include "controller/command_source.h"

#include "fleet/reconciliation.h"

namespace hallpier::controller {

void CommandSource::BeginTerm() { term_revision_ = services_.election->token().value(); }

bool CommandSource::CacheIsCurrent() const {
  return services_.cache->revision() >= term_revision_ &&
         services_.cache->current_as_of() >= services_.scope->loop().resumed_at();
}

std::vector<model::WorkerCommand> CommandSource::CommandsFor(fleet::Machine& machine, bool direct) {
  if (CacheIsCurrent()) return fleet::Reconcile(registry_, machine, *services_.job_table, direct);
  // After a pause during an outage, leases are renewed based on the reports of the other nodes
  // while the watch cache can't be confirmed. A cancellation from these reports must still be
  // carried out; it is valid whatever else has been recorded.
  return fleet::CancellationCommands(machine, *services_.job_table);
}

}  // namespace hallpier::controller
