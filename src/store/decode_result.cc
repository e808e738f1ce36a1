#include "store/decode_result.h"

#include <spdlog/spdlog.h>

namespace hallpier::store {

void LogUnreadable(std::string_view key, const DecodeError& error) {
  spdlog::error("record unreadable: key={} field={} reason={}", key,
                error.field.empty() ? "-" : error.field, error.reason);
}

}  // namespace hallpier::store
