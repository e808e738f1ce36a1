#include "store/task_group_layout.h"

namespace hallpier::store {
namespace {

constexpr double kBytesPerKb = 1024;

// Text form: the bytes that a task on a machine may take on average (its index, and the name of a
// machine that runs no other task of the group), and the fraction of a value that tasks on machines
// may fill.
constexpr double kTextTaskBytes = 22;
constexpr double kTextTasksShare = 0.9;

// Packed form: the same, for two flags, a machine code of three digits, and an attempt.
constexpr double kPackedTaskBytes = 4.5;
constexpr double kPackedTasksShare = 0.85;
// Limited because every node reads the whole group again after each change to it.
constexpr uint32_t kMaxPackedTasks = 2048;

}  // namespace

uint32_t TasksPerTextGroup(double value_kb) {
  const double tasks = value_kb * kBytesPerKb * kTextTasksShare / kTextTaskBytes;
  return std::max(1U, static_cast<uint32_t>(tasks));
}

uint32_t TasksPerPackedGroup(double value_kb) {
  const double tasks = value_kb * kBytesPerKb * kPackedTasksShare / kPackedTaskBytes;
  return std::clamp(static_cast<uint32_t>(tasks), 1U, kMaxPackedTasks);
}

}  // namespace hallpier::store
