#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/time.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace rhubarbarch::settings {

/// State of reading one document: its name and the first error.
struct ReadContext
{
  std::string file;
  std::optional<Error> error;
};

/// Reads the keys of one YAML map and reports unknown, missing and ill-typed keys with file, line and key.
///
/// Usage: construct, call required() or optional() for each key, then finish(). After an error all further calls do
/// nothing; the first error stays in the context.
class MapReader
{
public:
  MapReader(ReadContext& aContext, const YAML::Node& aNode, std::string aPath);

  template<typename T>
  void required(const std::string& aKey, T& aValue)
  {
    const auto node = child(aKey);
    if (!node) {
      fail(ErrorCode::kMissingKey, mNode, aKey, "is required");
      return;
    }
    convert(aKey, *node, aValue);
  }

  template<typename T>
  void optional(const std::string& aKey, T& aValue)
  {
    if (const auto node = child(aKey)) {
      convert(aKey, *node, aValue);
    }
  }

  /// Reads a duration in whole milliseconds, at least 1.
  void optionalMs(const std::string& aKey, Duration& aValue);

  /// Calls `aRead` with the node of a key if the key is present.
  void optionalNode(const std::string& aKey, const std::function<void(const YAML::Node&, const std::string&)>& aRead);

  /// Calls `aRead` for each element of a list; `aPath` holds the index.
  void optionalList(const std::string& aKey, const std::function<void(const YAML::Node&, const std::string&)>& aRead);

  /// Fails unless the key's value is accepted.
  void check(const std::string& aKey, bool aAccepted, const std::string& aRequirement);

  /// Reports the first key that was never read.
  void finish();

  bool failed() const noexcept { return mContext.error.has_value(); }

private:
  std::optional<YAML::Node> child(const std::string& aKey);
  void fail(ErrorCode aCode, const YAML::Node& aWhere, const std::string& aKey, const std::string& aProblem);

  template<typename T>
  void convert(const std::string& aKey, const YAML::Node& aNode, T& aValue)
  {
    try {
      aValue = aNode.as<T>();
    } catch (const YAML::Exception&) {
      fail(ErrorCode::kInvalidArgument, aNode, aKey, "has a value of the wrong type");
    }
  }

  ReadContext& mContext;
  YAML::Node mNode;
  std::string mPath;
  std::set<std::string> mKnown;
};

/// Parses a document whose root must be a map.
/// @return the root node, or kParse with file and line
Result<YAML::Node>
parseDocument(const std::string& aText, const std::string& aFile);

} // namespace rhubarbarch::settings
