#include "map_reader.h"

#include <algorithm>

namespace rhubarbarch::settings {

namespace {

std::string
place(const std::string& aFile, const YAML::Mark& aMark)
{
  return aFile + ":" + std::to_string(aMark.line + 1);
}

} // namespace

MapReader::MapReader(ReadContext& aContext, const YAML::Node& aNode, std::string aPath)
  : mContext(aContext)
  , mNode(aNode)
  , mPath(std::move(aPath))
{
  if (!mNode.IsMap()) {
    fail(ErrorCode::kInvalidArgument, mNode, "", "must be a map");
  }
}

std::optional<YAML::Node>
MapReader::child(const std::string& aKey)
{
  mKnown.insert(aKey);
  if (failed()) {
    return std::nullopt;
  }
  YAML::Node node = mNode[aKey];
  if (!node.IsDefined() || node.IsNull()) {
    return std::nullopt;
  }
  return node;
}

void
MapReader::fail(ErrorCode aCode, const YAML::Node& aWhere, const std::string& aKey, const std::string& aProblem)
{
  if (failed()) {
    return;
  }
  const std::string separator = mPath.empty() || aKey.empty() ? "" : ".";
  mContext.error =
    Error{ aCode, place(mContext.file, aWhere.Mark()) + ": '" + mPath + separator + aKey + "' " + aProblem };
}

void
MapReader::optionalMs(const std::string& aKey, Duration& aValue)
{
  auto milliseconds = static_cast<std::int64_t>(aValue.count());
  optional(aKey, milliseconds);
  check(aKey, milliseconds >= 1, "must be at least 1 ms");
  aValue = Duration{ milliseconds };
}

void
MapReader::optionalNode(const std::string& aKey,
                        const std::function<void(const YAML::Node&, const std::string&)>& aRead)
{
  if (const auto node = child(aKey)) {
    aRead(*node, mPath.empty() ? aKey : mPath + "." + aKey);
  }
}

void
MapReader::optionalList(const std::string& aKey,
                        const std::function<void(const YAML::Node&, const std::string&)>& aRead)
{
  const auto node = child(aKey);
  if (!node) {
    return;
  }
  if (!node->IsSequence()) {
    fail(ErrorCode::kInvalidArgument, *node, aKey, "must be a list");
    return;
  }
  const std::string path = mPath.empty() ? aKey : mPath + "." + aKey;
  std::size_t index = 0;
  for (const auto& element : *node) {
    aRead(element, path + "[" + std::to_string(index) + "]");
    ++index;
  }
}

void
MapReader::check(const std::string& aKey, bool aAccepted, const std::string& aRequirement)
{
  if (aAccepted || failed()) {
    return;
  }
  const YAML::Node node = mNode[aKey];
  fail(ErrorCode::kInvalidArgument, node.IsDefined() ? node : mNode, aKey, aRequirement);
}

void
MapReader::finish()
{
  if (failed()) {
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : mNode) {
    const auto key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("(not a name)");
    if (!mKnown.contains(key)) {
      fail(ErrorCode::kUnknownKey, entry.first, key, "is not a known key");
      return;
    }
    if (!seen.insert(key).second) {
      fail(ErrorCode::kInvalidArgument, entry.first, key, "stands twice");
      return;
    }
  }
}

Result<YAML::Node>
parseDocument(const std::string& aText, const std::string& aFile)
{
  try {
    auto node = YAML::Load(aText);
    if (!node.IsMap()) {
      return failure(ErrorCode::kParse, aFile + ":1: the document must be a map");
    }
    return node;
  } catch (const YAML::Exception& error) {
    return failure(ErrorCode::kParse, place(aFile, error.mark) + ": " + error.msg);
  }
}

} // namespace rhubarbarch::settings
