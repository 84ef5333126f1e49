#pragma once

#include <string>
#include <vector>

namespace rhubarbarch {

/// One header field, in the spelling in which it came.
struct HttpField
{
  std::string name;
  std::string value;

  bool operator==(const HttpField&) const = default;
};

using HttpFields = std::vector<HttpField>;

} // namespace rhubarbarch
