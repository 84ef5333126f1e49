#include "control_api.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;

namespace {

std::variant<controller::Operation, net::OperatorAnswer>
decode(const std::string& aMethod, const std::string& aPath, const std::string& aBody = "")
{
  router::CallerRequest request;
  request.method = aMethod;
  request.path = aPath;
  request.target = aPath;
  request.body = aBody;
  return decodeOperation(request);
}

std::int32_t
refusal(const std::variant<controller::Operation, net::OperatorAnswer>& aDecoded)
{
  const auto* answer = std::get_if<net::OperatorAnswer>(&aDecoded);
  return answer == nullptr ? 0 : answer->status;
}

} // namespace

TEST_GROUP(EvacuationOrders){};

// Guards against an evacuation that is taken for its withdrawal, or for that of another data centre.
TEST(EvacuationOrders, decodesEvacuations)
{
  const auto evacuation = std::get<controller::Evacuate>(std::get<0>(decode("POST", "/-/evacuations/lakes-a")));
  STRCMP_EQUAL("lakes-a", evacuation.dataCentre.c_str());
  CHECK(evacuation.evacuated);
  CHECK_FALSE(std::get<controller::Evacuate>(std::get<0>(decode("DELETE", "/-/evacuations/lakes-a"))).evacuated);
}

// Guards against orders that cannot be read in full being taken.
TEST(EvacuationOrders, refusesEvacuationsThatCannotBeRead)
{
  CHECK_EQUAL(400, refusal(decode("POST", "/-/evacuations/")));
  CHECK_EQUAL(400, refusal(decode("POST", "/-/evacuations/a/b")));
  CHECK_EQUAL(400, refusal(decode("POST", "/-/evacuations/a", "{}")));
  CHECK_EQUAL(405, refusal(decode("GET", "/-/evacuations/a")));
  CHECK_EQUAL(404, refusal(decode("POST", "/-/elsewhere")));
}
