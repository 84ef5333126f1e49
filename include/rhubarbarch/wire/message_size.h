#pragma once

#include "rhubarbarch/wire/message.h"

#include <cstddef>

namespace rhubarbarch {

/// Estimates the memory that a message takes while it waits in a queue, in bytes. Costs time in proportion to the
/// number of its parts, not to their sizes.
///
/// Usage: `queued += approximateBytes(envelope.message);`
std::size_t
approximateBytes(const Message& aMessage) noexcept;

} // namespace rhubarbarch
