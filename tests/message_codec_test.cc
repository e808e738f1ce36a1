// Codecs of the messages of users and workers.
#include <gtest/gtest.h>

#include "model/job.h"
#include "wire/json.h"
#include "wire/user_codec.h"
#include "wire/worker_codec.h"

namespace hallpier {
namespace {

const char* const kJob = R"({"id":"run-000412","lane":"train","tenant":"vision","shape":"array",
 "urgency":"urgent","pieces":16,"vcpus":8.0,"cards":1.0,"memGb":64.0,"bundle":"img-07",
 "sizeGb":6.2,"flavors":["g8"],"hall":null,"oneZone":true,"spread":false,"lendable":true,
 "expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0})";

TEST(UserCodec, SubmissionRoundTrips) {
  const auto spec = wire::ReadJobSpec(*wire::ParseObject(kJob));
  ASSERT_TRUE(spec) << spec.error().field;
  wire::JsonWriter w;
  wire::WriteJobSpec(w, *spec);
  const auto decoded = wire::ReadJobSpec(*wire::ParseObject(w.Take()));
  ASSERT_TRUE(decoded) << decoded.error().field;
  EXPECT_EQ(decoded->priority, model::Priority::kUrgent);
  EXPECT_EQ(decoded->machine_types, spec->machine_types);
  EXPECT_EQ(decoded->deadline_s, 900);
  EXPECT_TRUE(decoded->one_zone);
}

TEST(UserCodec, ErrorOfInvalidSubmissionNamesField) {
  auto rejected_field = [](const std::string& from, const std::string& to) {
    std::string text = kJob;
    text.replace(text.find(from), from.size(), to);
    const auto spec = wire::ReadJobSpec(*wire::ParseObject(text));
    EXPECT_FALSE(spec);
    return spec ? std::string() : spec.error().field;
  };
  EXPECT_EQ(rejected_field("\"pieces\":16", "\"pieces\":0"), "pieces");
  EXPECT_EQ(rejected_field("\"pieces\":16", "\"pieces\":100001"), "pieces");
  EXPECT_EQ(rejected_field("\"urgent\"", "\"soon\""), "urgency");
  EXPECT_EQ(rejected_field("\"memGb\":64.0", "\"memGb\":-1"), "memGb");
  EXPECT_EQ(rejected_field("run-000412", "job-1"), "id");
  EXPECT_EQ(rejected_field("[\"g8\"]", "[3]"), "flavors");
  EXPECT_EQ(rejected_field("\"spread\":false,", ""), "spread");
}

TEST(WorkerCodec, OneInvalidTaskRejectsWholeHeartbeat) {
  const std::string prefix =
      R"({"host":"vm-1","endpoint":"e","flavor":"f","hall":"a","tenure":1,"tick":2,"pieces":[)";
  EXPECT_TRUE(wire::ReadHeartbeat(
      prefix + R"({"piece":"run-1/0","try":1,"phase":"ended","cause":"done"}]})"));
  EXPECT_FALSE(wire::ReadHeartbeat(prefix + R"({"piece":"run-1/0","try":1,"phase":"odd"}]})"));
  EXPECT_FALSE(wire::ReadHeartbeat(prefix + R"({"piece":"nonsense","try":1,"phase":"running"}]})"));
}

}  // namespace
}  // namespace hallpier
