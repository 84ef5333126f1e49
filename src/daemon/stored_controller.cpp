#include "stored_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbarch::daemon {

namespace {

using controller::Action;
using controller::Actions;

/// How often a disk that has refused a write is tried again: a fraction of the seconds for which disks are full.
constexpr Duration kReopenPeriod{ 500 };

std::vector<consensus::StorageRecord>
takeRecords(Actions& aBatch)
{
  std::vector<consensus::StorageRecord> records;
  for (auto& action : aBatch) {
    if (auto* persist = std::get_if<controller::Persist>(&action)) {
      std::ranges::move(persist->records, std::back_inserter(records));
    }
  }
  return records;
}

/// @return whether an action may be done although the records of its batch were refused: it neither promises anything
/// nor reaches another process
bool
outlivesRefusal(const Action& aAction)
{
  return std::holds_alternative<controller::Log>(aAction) || std::holds_alternative<controller::Stopped>(aAction);
}

template<typename... Events>
void
append(Actions& aActions, controller::ControllerRole& aRole, TimePoint aNow, const std::optional<Events>&... aEvents)
{
  const auto handle = [&](const auto& aEvent) {
    if (aEvent) {
      std::ranges::move(aRole.handle(*aEvent, aNow), std::back_inserter(aActions));
    }
  };
  (handle(aEvents), ...);
}

} // namespace

StoredController::StoredController(controller::ControllerOptions aOptions,
                                   OpenedStore aOpened,
                                   std::function<Result<OpenedStore>()> aReopen,
                                   std::mt19937_64 aRandom)
  : mOptions(std::move(aOptions))
  , mReopen(std::move(aReopen))
  , mRandom(aRandom)
{
  startRole(std::move(aOpened));
}

void
StoredController::startRole(OpenedStore aOpened)
{
  mWrite = std::move(aOpened.write);
  mRole = std::make_unique<controller::ControllerRole>(mOptions, std::move(aOpened.state), std::mt19937_64(mRandom()));
}

Actions
StoredController::start(TimePoint aNow)
{
  return mRole->start(aNow);
}

void
StoredController::remember(const controller::Event& aEvent)
{
  if (const auto* request = std::get_if<controller::OperatorRequest>(&aEvent)) {
    mOperators.insert(request->id);
  } else if (const auto* contacts = std::get_if<controller::Contacts>(&aEvent)) {
    mContacts = *contacts;
  } else if (const auto* list = std::get_if<controller::PlatformList>(&aEvent)) {
    mPlatformList = *list;
  } else if (const auto* upstreams = std::get_if<controller::UpstreamsRead>(&aEvent)) {
    mUpstreams = *upstreams;
  } else if (std::holds_alternative<controller::Shutdown>(aEvent)) {
    mShutdown = true;
  }
}

Actions
StoredController::handle(const controller::Event& aEvent, TimePoint aNow)
{
  remember(aEvent);
  if (mRole) {
    return mRole->handle(aEvent, aNow);
  }
  Actions actions;
  refuseOperators(actions);
  if (std::holds_alternative<controller::Shutdown>(aEvent)) {
    actions.emplace_back(controller::Stopped{}); // there is no leadership to hand over
  } else if (std::holds_alternative<controller::Tick>(aEvent) && !mShutdown && aNow >= mReopenAt) {
    std::ranges::move(reopen(aNow), std::back_inserter(actions));
  }
  return actions;
}

Actions
StoredController::persist(Actions aBatch, TimePoint aNow)
{
  const auto records = takeRecords(aBatch);
  if (!records.empty()) {
    if (const auto written = mWrite(records); !written) {
      return close(written.error(), std::move(aBatch), aNow);
    }
  }
  for (const auto& action : aBatch) {
    if (const auto* reply = std::get_if<controller::OperatorReply>(&action)) {
      mOperators.erase(reply->id);
    }
  }
  return aBatch;
}

/// Drops the role and what it has not yet done.
Actions
StoredController::close(const Error& aError, Actions aBatch, TimePoint aNow)
{
  ++mRefusals;
  mRole.reset();
  mWrite = nullptr;
  mReopenAt = aNow + kReopenPeriod;
  std::erase_if(aBatch, [](const Action& aAction) { return !outlivesRefusal(aAction); });
  aBatch.emplace_back(
    controller::Log{ { Severity::kError, "data_folder_write_failed", { { "detail", aError.detail } } } });
  refuseOperators(aBatch);
  const bool stops = std::ranges::any_of(
    aBatch, [](const Action& aAction) { return std::holds_alternative<controller::Stopped>(aAction); });
  if (mShutdown && !stops) {
    aBatch.emplace_back(controller::Stopped{});
  }
  return aBatch;
}

/// A change may be in force although its operator is refused; the status promises nothing, and operators repeat it.
void
StoredController::refuseOperators(Actions& aActions)
{
  for (const auto id : std::exchange(mOperators, {})) {
    aActions.emplace_back(
      controller::OperatorReply{ id,
                                 503,
                                 { { "error", "store_unavailable" },
                                   { "detail", "the disk of this controller refuses writes; repeat the request" } },
                                 {} });
  }
}

Actions
StoredController::reopen(TimePoint aNow)
{
  mReopenAt = aNow + kReopenPeriod;
  Actions actions;
  auto opened = mReopen();
  if (!opened) {
    actions.emplace_back(
      controller::Log{ { Severity::kError, "data_folder_not_opened", { { "detail", opened.error().detail } } } });
    return actions;
  }
  startRole(std::move(opened.value()));
  actions.emplace_back(controller::Log{ { Severity::kInfo, "data_folder_reopened", {} } });
  std::ranges::move(mRole->start(aNow), std::back_inserter(actions));
  append(actions, *mRole, aNow, mContacts, mPlatformList, mUpstreams);
  return actions;
}

bool
StoredController::ready() const
{
  return mRole && mRole->ready();
}

Metrics
StoredController::metrics() const
{
  auto metrics = mRole ? mRole->metrics() : Metrics{};
  metrics.push_back({ "rhubarbarch_controller_store_open", "", mRole ? 1.0 : 0.0 });
  metrics.push_back({ "rhubarbarch_controller_store_refusals_total", "", static_cast<double>(mRefusals) });
  return metrics;
}

} // namespace rhubarbarch::daemon
