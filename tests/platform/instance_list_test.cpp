#include "instance_list.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;

namespace {

/// An entry as the platform writes it. A string in it has braces, brackets and escaped quotes.
std::string
soundEntry(const std::string& aId, const std::string& aState = "ready")
{
  return "{\"Id\":\"" + aId + R"(","Service":"s","Address":"10.0.0.1:80","Zone":"a","State":")" + aState +
         R"(","Note":"}],{\"Id\":\"x\"},[{","Tags":["t1",{"k":1}],"Slots":6})";
}

/// All malformed forms of an entry: cut at each position, and a stray quote or bracket at each position.
std::vector<std::string>
malformedEntries()
{
  const auto whole = soundEntry("i-bad");
  std::vector<std::string> all;
  for (std::size_t at = 1; at < whole.size(); ++at) {
    all.push_back(whole.substr(0, at));
    for (const auto* stray : { "\"", "{", "}", "[", "]", "\\" }) {
      all.push_back(whole.substr(0, at) + stray + whole.substr(at));
    }
  }
  for (const std::string stray : { "\"", "{", "}", "[", "]", "\\", "[[", "]]", "{{", "}}" }) {
    all.push_back(stray + whole);
    all.push_back(whole + stray);
    all.push_back(stray);
  }
  constexpr std::size_t kDepth = 100'000;
  for (const std::string nested : { "[", "{\"a\":", "[{\"a\":" }) {
    std::string deep = R"({"Id":"i-bad","Extra":)";
    for (std::size_t i = 0; i < kDepth; ++i) {
      deep += nested;
    }
    all.push_back(deep);
  }
  return all;
}

std::string
pageOf(const std::vector<std::string>& aEntries, const std::string& aSeparator)
{
  std::string text = R"({"Instances":[)";
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    text += (i == 0 ? "" : aSeparator) + aEntries[i];
  }
  return text + R"(],"Next":"p-2"})";
}

bool
hasEntry(const InstancePage& aPage, const std::string& aId, bool aLeaving)
{
  return std::ranges::any_of(aPage.upstreams,
                             [&](const UpstreamEntry& aEach) { return aEach.id == aId && aEach.leaving == aLeaving; });
}

} // namespace

TEST_GROUP(MalformedEntry){
  /// Puts an entry at the given place of a page with three sound ones and checks that those are decoded.
  void checkNeighbours(const std::string& aEntry, std::size_t aPlace, const std::string& aSeparator){
    std::vector<std::string> entries{ soundEntry("i-1"), soundEntry("i-2", "draining"), soundEntry("i-3") };
entries.insert(entries.begin() + static_cast<std::ptrdiff_t>(aPlace), aEntry);
const auto page = decodePage(pageOf(entries, aSeparator));
const auto text = aEntry.substr(0, 200) + " at place " + std::to_string(aPlace);
CHECK_TEXT(page.has_value(), text.c_str());
CHECK_TEXT(hasEntry(page.value(), "i-1", false), text.c_str());
CHECK_TEXT(hasEntry(page.value(), "i-2", true), text.c_str());
CHECK_TEXT(hasEntry(page.value(), "i-3", false), text.c_str());
STRCMP_EQUAL_TEXT("p-2", page.value().next.c_str(), text.c_str());
}
}
;

// Guards against an entry that is cut off, has a stray quote or bracket or is deeply nested making the page unreadable
// or swallowing a neighbour: a leaving upstream would get new work.
TEST(MalformedEntry, hidesNoNeighbour)
{
  for (const auto& entry : malformedEntries()) {
    for (std::size_t place = 0; place < 4; ++place) {
      checkNeighbours(entry, place, ",");
      checkNeighbours(entry, place, ",\n  ");
    }
  }
}

// Guards against two malformed entries closing each other's brackets around a sound one.
TEST(MalformedEntry, hidesNoneBetweenTwo)
{
  const auto whole = soundEntry("i-bad");
  for (std::size_t at = 1; at < whole.size(); ++at) {
    const std::vector<std::string> entries{
      whole.substr(0, at), soundEntry("i-1"), whole.substr(at), soundEntry("i-2", "draining")
    };
    const auto page = decodePage(pageOf(entries, ","));
    CHECK_TEXT(page.has_value(), entries[0].c_str());
    CHECK_TEXT(hasEntry(page.value(), "i-1", false), entries[0].c_str());
    CHECK_TEXT(hasEntry(page.value(), "i-2", true), entries[0].c_str());
  }
}

// Guards against an array within a malformed entry being taken for the end of the list.
TEST(MalformedEntry, doesNotEndTheList)
{
  checkNeighbours(R"({"Id":"i-bad","Tags":["t"],"More":[1)", 1, ",");
  checkNeighbours(R"({"Id":"i-bad","Tags":["t"],"More":[)", 1, ",");
}

// Guards against a sound entry being taken for malformed because of what its strings contain.
TEST(MalformedEntry, isNoneOfTheSoundOnes)
{
  const auto page = decodePage(pageOf({ soundEntry("i-1"), soundEntry("i-2") }, ",")).value();
  CHECK_EQUAL(2U, page.upstreams.size());
  CHECK(page.unreadable.empty());
}

// Guards against an operator not learning which entry is malformed, and against two lines for one entry.
TEST(MalformedEntry, isNamed)
{
  const auto decoded = decodePage(pageOf({ soundEntry("i-1"),
                                           R"({"Id":"i-other-1","Serv)",
                                           R"({"Id":"i-other-2","State":"dreaming"})",
                                           soundEntry("i-2"),
                                           R"({"Id":"i-other-3"},"Service":"s"})" },
                                         ","));
  CHECK(decoded.has_value());
  const auto& page = decoded.value();
  CHECK_EQUAL(3U, page.unreadable.size());
  STRCMP_EQUAL("i-other-1", page.unreadable[0].c_str());
  STRCMP_EQUAL("i-other-2", page.unreadable[1].c_str());
  STRCMP_EQUAL("i-other-3", page.unreadable[2].c_str());
  STRCMP_EQUAL("nul?\"", decodePage("{\"Instances\":[nul\xff\"]}").value().unreadable[0].c_str());
}
