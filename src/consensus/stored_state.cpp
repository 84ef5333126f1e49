#include "rhubarbarch/consensus/log_store.h"

#include <algorithm>

namespace rhubarbarch::consensus {

namespace {

void
dropFrom(StoredState& aState, LogIndex aIndex)
{
  std::erase_if(aState.entries, [aIndex](const auto& aEntry) { return aEntry.index >= aIndex; });
}

struct Applier
{
  StoredState& state;

  void operator()(const HardState& aHardState) const { state.hardState = aHardState; }

  void operator()(const EntriesRecord& aRecord) const
  {
    if (!aRecord.entries.empty()) {
      dropFrom(state, aRecord.entries.front().index);
      state.entries.insert(state.entries.end(), aRecord.entries.begin(), aRecord.entries.end());
    }
  }

  void operator()(const SnapshotRecord& aSnapshot) const
  {
    const auto last = std::ranges::find(state.entries, aSnapshot.lastIndex, &LogEntry::index);
    if (last != state.entries.end() && last->term == aSnapshot.lastTerm) {
      state.entries.erase(state.entries.begin(), last + 1);
    } else {
      state.entries.clear();
    }
    state.snapshot = aSnapshot;
  }
};

} // namespace

void
applyRecord(StoredState& aState, const StorageRecord& aRecord)
{
  std::visit(Applier{ aState }, aRecord);
  aState.fresh = false;
}

} // namespace rhubarbarch::consensus
