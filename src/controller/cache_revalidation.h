// Confirms the copy of the records after a pause of the process, without waiting for its watch.
#pragma once

#include "async/wait.h"
#include "controller/node_services.h"
#include "store/linearizable_read.h"

namespace hallpier::controller {

// The routine: runs until the node's scope is cancelled. `retry_s`: seconds between two attempts.
// Both references must outlive that scope's routines.
async::Task<> ConfirmCopyAfterPauses(const NodeServices& services,
                                     store::LinearizableRead& linearizable_read, double retry_s);

}  // namespace hallpier::controller
