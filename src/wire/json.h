// Small conveniences over RapidJSON: checked reads and compact writes.
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
  JsonWriter& Field(const char* name) {
    Key(name);
    return *this;
  }
  void Text(std::string_view s) { String(s.data(), static_cast<rapidjson::SizeType>(s.size())); }
  void TextOrNull(std::string_view s) {
    if (s.empty()) {
      Null();
    } else {
      Text(s);
    }
  }
  // A finished JSON text, as it is.
  void Raw(std::string_view json) { RawValue(json.data(), json.size(), rapidjson::kObjectType); }
  std::string Take() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
};

// Nothing unless the text is one JSON object. Depth is bounded by the text: parsing is iterative.
inline std::optional<rapidjson::Document> ParseObject(std::string_view text) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                  text.size());
  if (d.HasParseError() || !d.IsObject()) return std::nullopt;
  return d;
}

// A member that is there and not null.
inline const JsonValue* Find(const JsonValue& o, const char* name) {
  if (!o.IsObject()) return nullptr;
  auto it = o.FindMember(name);
  return it == o.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

inline std::optional<std::string> GetText(const JsonValue& o, const char* name) {
  const JsonValue* v = Find(o, name);
  if (v == nullptr || !v->IsString()) return std::nullopt;
  return std::string(v->GetString(), v->GetStringLength());
}

inline std::optional<uint64_t> GetCount(const JsonValue& o, const char* name) {
  const JsonValue* v = Find(o, name);
  if (v == nullptr || !v->IsUint64()) return std::nullopt;
  return v->GetUint64();
}

inline std::optional<double> GetAmount(const JsonValue& o, const char* name) {
  const JsonValue* v = Find(o, name);
  if (v == nullptr || !v->IsNumber() || !std::isfinite(v->GetDouble())) return std::nullopt;
  return v->GetDouble();
}

inline std::optional<bool> GetFlag(const JsonValue& o, const char* name) {
  const JsonValue* v = Find(o, name);
  if (v == nullptr || !v->IsBool()) return std::nullopt;
  return v->GetBool();
}

// The texts in a list; what is not a text is left out. Null, or no list: none.
inline std::vector<std::string> GetTexts(const JsonValue* list) {
  std::vector<std::string> out;
  if (list == nullptr || !list->IsArray()) return out;
  for (const auto& v : list->GetArray()) {
    if (v.IsString()) out.emplace_back(v.GetString(), v.GetStringLength());
  }
  return out;
}

inline std::string Dump(const JsonValue& v) {
  JsonWriter w;
  v.Accept(w);
  return w.Take();
}

}  // namespace hallpier::wire
