#include "wire/url_query.h"

#include <cstdint>
#include <utility>

namespace hallpier::wire {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr int kHexBase = 16;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }
bool IsLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

// Returns -1 if `c` is not a hexadecimal digit.
int HexDigitValue(char c) {
  constexpr int kValueOfA = 10;
  if (IsDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + kValueOfA;
  if (c >= 'A' && c <= 'F') return c - 'A' + kValueOfA;
  return -1;
}

// True if a percent escape such as "%2F" starts at `at`.
bool IsEscape(std::string_view text, size_t at) {
  return text[at] == '%' && at + 2 < text.size() && HexDigitValue(text[at + 1]) >= 0 &&
         HexDigitValue(text[at + 2]) >= 0;
}

}  // namespace

std::vector<QueryParameter> ParseQuery(std::string_view target) {
  std::vector<QueryParameter> parameters;
  const size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) return parameters;
  QueryParameter parameter;
  std::string* part = &parameter.name;
  for (size_t i = question_mark + 1; i <= target.size(); ++i) {
    const char c = i < target.size() ? target[i] : '&';
    if (c == '&') {
      if (!parameter.name.empty()) parameters.push_back(std::move(parameter));
      parameter = {};
      part = &parameter.name;
    } else if (c == '=' && part == &parameter.name) {
      part = &parameter.value;
    } else if (IsEscape(target, i)) {
      const int code = HexDigitValue(target[i + 1]) * kHexBase + HexDigitValue(target[i + 2]);
      part->push_back(static_cast<char>(code));
      i += 2;
    } else {
      part->push_back(c);
    }
  }
  return parameters;
}

std::string EscapeQuery(std::string_view text) {
  constexpr std::string_view kUnescaped = "-_./";
  std::string escaped;
  for (const char c : text) {
    if (IsDigit(c) || IsLetter(c) || kUnescaped.find(c) != std::string_view::npos) {
      escaped.push_back(c);
      continue;
    }
    const auto code = static_cast<uint8_t>(c);
    escaped.push_back('%');
    escaped.push_back(kHexDigits[code / kHexBase]);
    escaped.push_back(kHexDigits[code % kHexBase]);
  }
  return escaped;
}

}  // namespace hallpier::wire
