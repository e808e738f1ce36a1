// The query of a URL: what stands behind the question mark.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

struct QueryParameter {
  std::string name;
  std::string value;
};

// Splits "a=b&c=d" behind the question mark and undoes percent escapes.
std::vector<QueryParameter> ParseQuery(std::string_view target);
std::string EscapeQuery(std::string_view text);

}  // namespace hallpier::wire
