// Parsing and escaping of URL queries: the part after the question mark.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

struct QueryParameter {
  std::string name;
  std::string value;
};

// Splits the query "a=b&c=d" of a request target and decodes percent escapes.
std::vector<QueryParameter> ParseQuery(std::string_view target);
// Percent-encodes a parameter's name or value.
std::string EscapeQuery(std::string_view text);

}  // namespace hallpier::wire
