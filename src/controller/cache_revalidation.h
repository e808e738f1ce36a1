// Revalidates the watch cache after a pause of the process, without waiting for its watch.
#pragma once

#include "async/wait.h"
#include "controller/node_services.h"
#include "store/linearizable_read.h"

namespace hallpier::controller {

// Runs until the node's scope is cancelled. `retry_s` is the delay between two attempts. Both
// references must outlive the coroutines of that scope.
async::Task<> RevalidateCacheAfterPauses(const NodeServices& services,
                                         store::LinearizableRead& linearizable_read,
                                         double retry_s);

}  // namespace hallpier::controller
