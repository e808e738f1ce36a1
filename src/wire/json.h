// Checked reads and compact writes on top of RapidJSON. The Get functions return std::nullopt if
// the member is missing, null or of another type.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

using JsonValue = rapidjson::Value;

class JsonWriter : public rapidjson::Writer<rapidjson::StringBuffer> {
 public:
  JsonWriter() : rapidjson::Writer<rapidjson::StringBuffer>(buffer_) {}
  // Writes the name of a member; its value must be written next.
  JsonWriter& Field(const char* name) {
    Key(name);
    return *this;
  }
  void Text(std::string_view text) {
    String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  }
  // Writes null for an empty text.
  void TextOrNull(std::string_view text) {
    if (text.empty()) {
      Null();
    } else {
      Text(text);
    }
  }
  // Writes a JSON text unchanged.
  void Raw(std::string_view json) { RawValue(json.data(), json.size(), rapidjson::kObjectType); }
  // Returns everything written so far.
  std::string Take() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
};

// Parses a text that is a single JSON object; std::nullopt for anything else. Only the length
// of the text limits the nesting depth; parsing is iterative, so depth does not use the stack.
inline std::optional<rapidjson::Document> ParseObject(std::string_view text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
      text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  return document;
}

// Returns a member, or nullptr if it is missing or JSON null.
inline const JsonValue* Find(const JsonValue& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  auto member = object.FindMember(name);
  return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

inline std::optional<std::string> GetText(const JsonValue& object, const char* name) {
  const JsonValue* value = Find(object, name);
  if (value == nullptr || !value->IsString()) return std::nullopt;
  return std::string(value->GetString(), value->GetStringLength());
}

inline std::optional<uint64_t> GetCount(const JsonValue& object, const char* name) {
  const JsonValue* value = Find(object, name);
  if (value == nullptr || !value->IsUint64()) return std::nullopt;
  return value->GetUint64();
}

// Returns a finite number.
inline std::optional<double> GetAmount(const JsonValue& object, const char* name) {
  const JsonValue* value = Find(object, name);
  if (value == nullptr || !value->IsNumber() || !std::isfinite(value->GetDouble()))
    return std::nullopt;
  return value->GetDouble();
}

inline std::optional<bool> GetFlag(const JsonValue& object, const char* name) {
  const JsonValue* value = Find(object, name);
  if (value == nullptr || !value->IsBool()) return std::nullopt;
  return value->GetBool();
}

// Returns the strings of a list and skips other items. Empty if `list` is null or not a list.
inline std::vector<std::string> GetTexts(const JsonValue* list) {
  std::vector<std::string> out;
  if (list == nullptr || !list->IsArray()) return out;
  for (const JsonValue& item : list->GetArray()) {
    if (item.IsString()) out.emplace_back(item.GetString(), item.GetStringLength());
  }
  return out;
}

// Returns the value as compact JSON.
inline std::string Dump(const JsonValue& value) {
  JsonWriter writer;
  value.Accept(writer);
  return writer.Take();
}

}  // namespace hallpier::wire
