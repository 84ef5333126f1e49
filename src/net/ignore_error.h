#pragma once

#include <boost/system/error_code.hpp>

namespace rhubarbarch::net {

/// For calls that close a socket or tune it: the connection is over, or works without the option, and its later
/// operations report what matters.
inline void
ignoreError(const boost::system::error_code& /*aError*/) noexcept
{
}

} // namespace rhubarbarch::net
