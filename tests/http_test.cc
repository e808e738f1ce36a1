#include "wire/http.h"

#include <gtest/gtest.h>

#include "wire/http_parser.h"
#include "wire/url_query.h"

namespace hallpier::wire {
namespace {

using State = HttpParser::State;

TEST(HttpParser, ParsesRequestFedByteByByte) {
  HttpParser p(HttpParser::Kind::kRequest, 100);
  const std::string text =
      "POST /submissions?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
  for (size_t i = 0; i + 1 < text.size(); ++i) {
    p.Feed(text.substr(i, 1));
    ASSERT_EQ(p.Parse(), State::kNeedMore) << i;
  }
  p.Feed("y");
  ASSERT_EQ(p.Parse(), State::kDone);
  HttpRequest r = p.TakeRequest();
  EXPECT_EQ(r.method, "POST");
  EXPECT_EQ(r.path(), "/submissions");
  EXPECT_EQ(r.body, "body");
  EXPECT_TRUE(r.keep_alive);
}

TEST(HttpParser, KeepsRemainingBytesForNextMessage) {
  HttpParser p(HttpParser::Kind::kRequest, 100);
  p.Feed("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_EQ(p.Parse(), State::kDone);
  EXPECT_EQ(p.TakeRequest().target, "/a");
  ASSERT_EQ(p.Parse(), State::kDone);
  HttpRequest b = p.TakeRequest();
  EXPECT_EQ(b.target, "/b");
  EXPECT_FALSE(b.keep_alive);
}

TEST(HttpParser, ParsesChunkedResponsesAndRetryAfter) {
  HttpParser p(HttpParser::Kind::kResponse, 100);
  p.Feed("HTTP/1.1 503 x\r\nRetry-After: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  ASSERT_EQ(p.Parse(), State::kNeedMore);
  p.Feed("2;x=y\r\nde\r\n0\r\n\r\n");
  ASSERT_EQ(p.Parse(), State::kDone);
  HttpResponse r = p.TakeResponse();
  EXPECT_EQ(r.status, 503);
  EXPECT_EQ(r.body, "abcde");
  EXPECT_EQ(r.retry_after_s, 7);
}

struct InvalidRequest {
  const char* name;
  const char* text;
  int status;
};

class InvalidHttpRequestTest : public testing::TestWithParam<InvalidRequest> {};

TEST_P(InvalidHttpRequestTest, IsRejectedWithItsStatus) {
  HttpParser p(HttpParser::Kind::kRequest, 10);
  p.Feed(GetParam().text);
  ASSERT_EQ(p.Parse(), State::kError);
  EXPECT_EQ(p.error_status(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidHttpRequestTest,
    testing::Values(
        InvalidRequest{"NotHttp", "nonsense\r\n\r\n", 400},
        InvalidRequest{"RelativeTarget", "GET a HTTP/1.1\r\n\r\n", 400},
        InvalidRequest{"UnknownVersion", "GET /a HTTP/9.9\r\n\r\n", 400},
        InvalidRequest{"NoColon", "GET /a HTTP/1.1\r\nno colon\r\n\r\n", 400},
        InvalidRequest{"TooLong", "POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 413},
        InvalidRequest{"NegativeLength", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        // Request smuggling: two lengths let one request be read as two.
        InvalidRequest{"TwoLengths",
                       "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
        InvalidRequest{"LengthAndChunks",
                       "POST /a HTTP/1.1\r\nContent-Length: 1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       400},
        InvalidRequest{"TooLongChunk",
                       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n", 413}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(HttpParser, RejectsHeadersOverLimit) {
  HttpParser p(HttpParser::Kind::kRequest, 10);
  p.Feed("GET /a HTTP/1.1\r\n");
  auto state = State::kNeedMore;
  for (int i = 0; i < 10000 && state == State::kNeedMore; ++i) {
    p.Feed("X-Filler: 0123456789\r\n");
    state = p.Parse();
  }
  ASSERT_EQ(state, State::kError);
  EXPECT_EQ(p.error_status(), 431);
}

TEST(UrlQuery, RoundTripsEscapedCharacters) {
  const std::string special_characters = "a b&c=d%/\xc3\xa9";
  auto q = ParseQuery("/x?k=" + EscapeQuery(special_characters) + "&empty=&n=1");
  ASSERT_EQ(q.size(), 3U);
  EXPECT_EQ(q[0].value, special_characters);
  EXPECT_EQ(q[1].value, "");
  EXPECT_EQ(q[2].name, "n");
}

}  // namespace
}  // namespace hallpier::wire
