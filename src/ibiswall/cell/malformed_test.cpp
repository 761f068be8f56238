// Tests that malformed records are rejected and never reach the dispatcher.

#include "../../../tests/environment.hpp"
#include "../../../tests/mutation.hpp"
#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/cbor.hpp>
#include <ibiswall/cell/dispatcher.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace ibiswall::cell {

namespace {

using Json = nlohmann::json;

JobRecord twoStepRecord()
{
    JobRecord record;
    record.nonce_ = "1.1";
    record.spec_.queue_ = "q";
    record.spec_.payload_ = "work";
    Step first;
    first.count_ = 2;
    first.need_ = {500, 256, 0};
    first.estimate_ = {100};
    Step second = first;
    second.after_ = {0};
    record.spec_.steps_ = {first, second};
    record.progress_.done_ = {true, false, false, false};
    record.progress_.failedRuns_ = {{1, 7}};
    return record;
}

std::string toBytes(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

// The encoded record with the value at a JSON pointer replaced.
std::string withValue(const char *pointer, const Json &value)
{
    Json json = Json::from_cbor(formatRecord(twoStepRecord()));
    json[Json::json_pointer(pointer)] = value;
    return toBytes(json);
}

unsigned scenarioCount()
{
    constexpr unsigned inCi = 3000;
    return numberFromEnvironment("IBISWALL_HISTORIES", inCi);
}

} // namespace

BOOST_AUTO_TEST_SUITE(malformed)

// The dispatcher looks up earlier steps by these indexes.
BOOST_AUTO_TEST_CASE(record_with_a_dependency_on_a_later_step_is_corrupt)
{
    BOOST_TEST(parseRecord(formatRecord(twoStepRecord())).has_value());
    BOOST_TEST(parseRecord(withValue("/4/2/1/5", {5})).has_error());
    BOOST_TEST(parseRecord(withValue("/4/2/0/5", {0})).has_error());
}

// A record with 4 billion tasks would need more memory than a VM has.
BOOST_AUTO_TEST_CASE(record_with_too_many_tasks_is_corrupt)
{
    BOOST_TEST(parseRecord(withValue("/4/2/0/0", 4000000000U)).has_error());
    BOOST_TEST(parseRecord(withValue("/4/2/0/0", 0)).has_error());
}

// A decoder that calls itself for each level would exhaust the stack.
BOOST_AUTO_TEST_CASE(deeply_nested_record_is_corrupt)
{
    constexpr std::size_t levels = 4U << 20U;
    constexpr char arrayOfOne = '\x81';
    BOOST_TEST(parseRecord(std::string(levels, arrayOfOne)).has_error());
}

// One such item in the registry or among the jobs ended every entry that read it, again after each restart.
BOOST_AUTO_TEST_CASE(nested_strings_of_indefinite_length_are_corrupt)
{
    constexpr std::size_t levels = 4U << 20U;
    for (const char head : {'\x7f', '\x5f'}) {
        BOOST_TEST(parseRecord(std::string(levels, head)).has_error());
        BOOST_CHECK_THROW(parseCbor("\x81" + std::string(levels, head)), std::out_of_range);
        BOOST_CHECK_THROW(parseCbor("\xa1" + std::string(levels, head)), std::out_of_range);
    }
}

BOOST_AUTO_TEST_CASE(cbor_that_grows_when_decoded_is_rejected)
{
    constexpr std::size_t count = 500000;
    const std::string head("\x9a\x00\x07\xa1\x20", 5);
    BOOST_TEST(parseCbor(head + std::string(count, '\0')).size() == count);
    for (const std::string &item : {std::string("\x80"), std::string("\xa0"), std::string("\x60"), std::string("\x9f\xff")}) {
        std::string bytes = head;
        for (std::size_t i = 0; i < count; ++i) {
            bytes += item;
        }
        BOOST_CHECK_THROW(parseCbor(bytes), std::out_of_range);
    }
}

BOOST_AUTO_TEST_CASE(cbor_with_a_wrong_structure_is_rejected)
{
    const std::vector<std::string> malformed{"",
                                             "\xff",
                                             "\x82\x01",
                                             "\x01\x01",
                                             "\x9f\x01",
                                             "\xa1\x61",
                                             "\x62x",
                                             "\x1c",
                                             "\x1b\x01",
                                             "\x5b\xff\xff\xff\xff\xff\xff\xff\xff",
                                             "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
                                             "\xbb\x80" + std::string(7, '\0'),
                                             "\xc1\x01",
                                             std::string(40, '\x9f') + std::string(40, '\xff')};
    for (const std::string &bytes : malformed) {
        BOOST_CHECK_THROW(parseCbor(bytes), std::out_of_range);
    }
    BOOST_TEST(parseCbor("\x9f\x01\x02\xff").size() == 2U);
    BOOST_TEST(parseCbor(toBytes({{"a", {1, -2, 2.5, nullptr, true, "x"}}})).at("a").size() == 6U);
}

BOOST_AUTO_TEST_CASE(mutated_bytes_are_decoded_or_rejected)
{
    const std::string valid = formatRecord(twoStepRecord());
    for (unsigned seed = firstSeed(); seed < firstSeed() + scenarioCount(); ++seed) {
        std::minstd_rand random(seed);
        std::string bytes = mutate(valid, random);
        constexpr std::string_view heads = "\x7f\x5f\x9f\xbf\xff\x81\xa1\xc0";
        for (std::size_t i = 0; i < 3 && !bytes.empty(); ++i) {
            bytes.insert(random() % bytes.size(), 1 + random() % 64, heads[random() % heads.size()]);
        }
        try {
            const Json json = parseCbor(bytes);
            BOOST_TEST(parseCbor(toBytes(json)) == json);
        } catch (const std::out_of_range &) {
            continue;
        }
    }
}

BOOST_AUTO_TEST_CASE(mutated_records_do_not_harm_the_dispatcher)
{
    const std::string valid = formatRecord(twoStepRecord());
    for (unsigned seed = firstSeed(); seed < firstSeed() + scenarioCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::minstd_rand random(seed);
            auto record = parseRecord(mutate(valid, random));
            if (record.has_error()) {
                continue;
            }
            Dispatcher dispatcher(1);
            BOOST_CHECK_NO_THROW({
                dispatcher.setConfig({}, {});
                dispatcher.addJob({"0123456789abcdef", std::move(record.value()), 1, false, {}, {}, {}}, {1000});
                dispatcher.markReconciled({1000});
                dispatcher.schedule({1000});
                dispatcher.takeActions();
            });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
