#include "../../platform/StoreEras.h"

#include <borageslip_core/time/ManualClock.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;

namespace {

class RecordingListener final : public StoreEras::Listener {
public:
    void eraChanged(uint64_t era) override { eras.push_back(era); }

    std::vector<uint64_t> eras;
};

}

// Guards against leases that are abandoned and keys that are read again although the store has not come back from a copy: at
// the start, by a late response of an earlier era, or where no era is stated.
TEST_CASE("only a newer era than all before is a change of the era")
{
    ManualClock clock;
    StoreEras eras(clock);
    RecordingListener listener;
    eras.addListener(listener);
    eras.observe(4);
    CHECK(eras.current() == 4);
    CHECK(listener.eras.empty());
    CHECK(eras.changeCount() == 0);
    clock.advance(10s);
    eras.observe(5);
    CHECK(eras.changedAt() == clock.now());
    clock.advance(1s);
    for (const uint64_t era : { 4, 5, 0 })
        eras.observe(era);
    CHECK(listener.eras == std::vector<uint64_t> { 5 });
    CHECK(eras.changedAt() == clock.now() - 1s);
    CHECK(eras.current() == 5);
    eras.observe(7);
    CHECK(listener.eras == std::vector<uint64_t> { 5, 7 });
    CHECK(eras.changeCount() == 2);
    eras.removeListener(listener);
    eras.observe(8);
    CHECK(listener.eras.size() == 2);
}

// Guards against a store that begins to state its era when it comes back from its first copy.
TEST_CASE("the first stated era is a change if earlier responses stated none")
{
    ManualClock clock;
    StoreEras eras(clock);
    eras.observe(0);
    CHECK(eras.changeCount() == 0);
    eras.observe(1);
    CHECK(eras.changeCount() == 1);
}
