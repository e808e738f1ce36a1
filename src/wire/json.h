// Checked reads and compact writes over RapidJSON. A read gives nothing if the member is missing,
// null or of another type.
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
  // The name of the member whose value comes next.
  JsonWriter& Field(const char* name) {
    Key(name);
    return *this;
  }
  void Text(std::string_view text) {
    String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  }
  void TextOrNull(std::string_view text) {
    if (text.empty()) {
      Null();
    } else {
      Text(text);
    }
  }
  // A JSON text that is written as it is.
  void Raw(std::string_view json) { RawValue(json.data(), json.size(), rapidjson::kObjectType); }
  // What has been written.
  std::string Take() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
};

// Nothing unless the text is one JSON object. Depth is bounded by the text: parsing is iterative.
inline std::optional<rapidjson::Document> ParseObject(std::string_view text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
      text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  return document;
}

// A member that is there and not null.
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

// The texts in a list; what is not a text is left out. Null, or no list: none.
inline std::vector<std::string> GetTexts(const JsonValue* list) {
  std::vector<std::string> out;
  if (list == nullptr || !list->IsArray()) return out;
  for (const JsonValue& item : list->GetArray()) {
    if (item.IsString()) out.emplace_back(item.GetString(), item.GetStringLength());
  }
  return out;
}

// The value as compact JSON.
inline std::string Dump(const JsonValue& value) {
  JsonWriter writer;
  value.Accept(writer);
  return writer.Take();
}

}  // namespace hallpier::wire
