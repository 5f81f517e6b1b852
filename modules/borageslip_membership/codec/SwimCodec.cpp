#include "SwimCodec.h"

#include <algorithm>
#include <borageslip_core/encoding/Cbor.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace borageslip {

namespace {

    using nlohmann::json;

    constexpr uint64_t formatVersion = 1;
    constexpr size_t maxTextBytes = 128;
    constexpr size_t maxListLength = 256;

    std::string_view hostPart(std::string_view address) { return address.substr(0, address.rfind(':')); }

    // The addresses of a daemon usually share one host. Those on the gossip host are sent as ":<port>" to save space.
    std::string_view withoutSharedHost(std::string_view address, std::string_view host)
    {
        return address.starts_with(host) && address.substr(host.size()).starts_with(':') ? address.substr(host.size()) : address;
    }

    // Encoded sizes of CBOR elements (RFC 8949 section 3).
    size_t textBytes(std::string_view text) { return text.size() + (text.size() < 24 ? 1 : 2); }

    size_t numberBytes(uint64_t number)
    {
        if (number < 24)
            return 1;
        if (number <= UINT8_MAX)
            return 2;
        if (number <= UINT16_MAX)
            return 3;
        return number <= UINT32_MAX ? 5 : 9;
    }

    std::array<uint8_t, 32> authenticationCode(const std::string& key, std::span<const uint8_t> body)
    {
        std::array<uint8_t, 32> code {};
        unsigned length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), body.data(), body.size(), code.data(), &length);
        return code;
    }

    json toJson(const MemberUpdate& update)
    {
        const auto& member = update.member;
        auto array = json::array({ member.id.text(), member.incarnation, member.startIncarnation, static_cast<unsigned>(member.state), member.isPlaceable, update.reporter.text() });
        if (update.hasProfile) {
            const auto host = hostPart(member.gossipAddress);
            for (const auto& text : { member.region.text(), member.failureDomain.text(), member.gossipAddress })
                array.push_back(text);
            for (const auto* address : { &member.callerAddress, &member.innerAddress, &member.operatorAddress })
                array.push_back(withoutSharedHost(*address, host));
        }
        return array;
    }

    json toJson(const GossipEntry& entry)
    {
        return json::array({ entry.member.text(), static_cast<unsigned>(entry.slot), entry.version, json::binary(entry.payload) });
    }

    /** Reads the elements of a JSON array in order. After a missing or invalid element, isValid() stays false. */
    class ArrayReader {
    public:
        explicit ArrayReader(const json& array)
            : m_array(array)
            , m_isValid(array.is_array())
        {
        }

        uint64_t number(uint64_t maximum = UINT64_MAX)
        {
            const auto* element = next();
            if (!element || !element->is_number_unsigned() || element->get<uint64_t>() > maximum)
                return invalid<uint64_t>();
            return element->get<uint64_t>();
        }

        bool boolean()
        {
            const auto* element = next();
            return element && element->is_boolean() ? element->get<bool>() : invalid<bool>();
        }

        std::string text()
        {
            const auto* element = next();
            if (!element || !element->is_string() || element->get_ref<const std::string&>().size() > maxTextBytes)
                return invalid<std::string>();
            return element->get<std::string>();
        }

        std::vector<uint8_t> binary(size_t maximum)
        {
            const auto* element = next();
            if (!element || !element->is_binary() || element->get_binary().size() > maximum)
                return invalid<std::vector<uint8_t>>();
            return element->get_binary();
        }

        const json& array(size_t maximum)
        {
            static const auto s_empty = json::array();
            const auto* element = next();
            if (element && element->is_array() && element->size() <= maximum)
                return *element;
            m_isValid = false;
            return s_empty;
        }

        bool isValid() const { return m_isValid; }
        size_t size() const { return m_array.size(); }

    private:
        const json* next()
        {
            if (!m_isValid || m_index >= m_array.size())
                return nullptr;
            return &m_array[m_index++];
        }

        template <typename T>
        T invalid()
        {
            m_isValid = false;
            return {};
        }

        const json& m_array;
        size_t m_index = 0;
        bool m_isValid;
    };

    bool readUpdate(const json& array, MemberUpdate& update)
    {
        ArrayReader reader(array);
        auto& member = update.member;
        member.id = MemberId(reader.text());
        member.incarnation = reader.number(INT64_MAX);
        member.startIncarnation = reader.number(INT64_MAX);
        member.state = static_cast<MemberState>(reader.number(static_cast<uint64_t>(MemberState::Dead)));
        member.isPlaceable = reader.boolean();
        update.reporter = MemberId(reader.text());
        update.hasProfile = reader.size() == 12;
        if (update.hasProfile) {
            member.region = Region(reader.text());
            member.failureDomain = FailureDomain(reader.text());
            member.gossipAddress = reader.text();
            const auto host = std::string(hostPart(member.gossipAddress));
            for (auto* address : { &member.callerAddress, &member.innerAddress, &member.operatorAddress }) {
                *address = reader.text();
                if (address->starts_with(':'))
                    address->insert(0, host);
            }
        }
        return reader.isValid() && (update.hasProfile || reader.size() == 6) && !member.id.isEmpty() && (!update.hasProfile || !member.gossipAddress.empty());
    }

    bool readEntry(const json& array, GossipEntry& entry)
    {
        ArrayReader reader(array);
        entry.member = MemberId(reader.text());
        entry.slot = static_cast<GossipSlot>(reader.number(gossipSlotCount - 1));
        entry.version = reader.number(INT64_MAX);
        entry.payload = reader.binary(GossipTable::maxPayload);
        return reader.isValid() && reader.size() == 4 && !entry.member.isEmpty();
    }

    bool readBuckets(const json& array, SwimMessage& message)
    {
        if (array.empty())
            return true;
        ArrayReader reader(array);
        auto& buckets = message.buckets.emplace();
        for (auto& bucket : buckets)
            bucket = static_cast<uint32_t>(reader.number(UINT32_MAX));
        return reader.isValid() && reader.size() == buckets.size();
    }

    std::optional<SwimMessage> messageFromJson(const json& document)
    {
        ArrayReader reader(document);
        if (reader.number() != formatVersion || reader.size() != 12)
            return std::nullopt;
        SwimMessage message;
        message.kind = static_cast<SwimKind>(reader.number(static_cast<uint64_t>(SwimKind::SyncResponse)));
        message.sequence = reader.number();
        message.sender = MemberId(reader.text());
        message.senderIncarnation = reader.number(INT64_MAX);
        message.digest = reader.number();
        message.target = MemberId(reader.text());
        const auto& configuration = reader.array(2);
        message.configurationVersion = reader.number(INT64_MAX);
        const auto& updates = reader.array(maxListLength);
        const auto& gossipEntries = reader.array(maxListLength);
        const auto& buckets = reader.array(std::tuple_size_v<BucketDigests>);
        if (!reader.isValid() || message.sender.isEmpty() || !readBuckets(buckets, message))
            return std::nullopt;
        if (!configuration.empty()) {
            ArrayReader configurationReader(configuration);
            const auto revision = configurationReader.number();
            const auto digest = configurationReader.number();
            if (!configurationReader.isValid())
                return std::nullopt;
            message.configuration = ConfigurationRevision { revision, digest };
        }
        for (const auto& update : updates) {
            if (!readUpdate(update, message.updates.emplace_back()))
                return std::nullopt;
        }
        for (const auto& entry : gossipEntries) {
            if (!readEntry(entry, message.gossipEntries.emplace_back()))
                return std::nullopt;
        }
        return message;
    }

}

SwimCodec::SwimCodec(std::string signingKey, std::string acceptedKey)
    : m_signingKey(std::move(signingKey))
    , m_acceptedKey(std::move(acceptedKey))
{
}

std::vector<uint8_t> SwimCodec::encode(const SwimMessage& message) const
{
    auto configuration = json::array();
    if (message.configuration)
        configuration = json::array({ message.configuration->revision, message.configuration->digest });
    auto updates = json::array();
    for (const auto& update : message.updates)
        updates.push_back(toJson(update));
    auto gossipEntries = json::array();
    for (const auto& entry : message.gossipEntries)
        gossipEntries.push_back(toJson(entry));
    auto buckets = json::array();
    if (message.buckets)
        buckets = *message.buckets;
    const auto document = json::array({ formatVersion, static_cast<unsigned>(message.kind), message.sequence, message.sender.text(), message.senderIncarnation,
        message.digest, message.target.text(), configuration, message.configurationVersion, updates, gossipEntries, buckets });
    std::vector<uint8_t> datagram(tagBytes);
    json::to_cbor(document, datagram);
    const auto code = authenticationCode(m_signingKey, std::span(datagram).subspan(tagBytes));
    std::copy_n(code.begin(), tagBytes, datagram.begin());
    return datagram;
}

std::optional<SwimMessage> SwimCodec::decode(std::span<const uint8_t> datagram) const
{
    if (datagram.size() <= tagBytes || datagram.size() > maxDatagram)
        return std::nullopt;
    const auto body = datagram.subspan(tagBytes);
    if (!isAuthentic(datagram.first(tagBytes), body))
        return std::nullopt;
    const auto document = parseCbor(body);
    if (!document.is_array() || document.empty())
        return std::nullopt;
    return messageFromJson(document);
}

size_t SwimCodec::sizeOf(const MemberUpdate& update)
{
    const auto& member = update.member;
    size_t bytes = 1 + textBytes(member.id.text()) + numberBytes(member.incarnation) + numberBytes(member.startIncarnation) + 2 + textBytes(update.reporter.text());
    if (!update.hasProfile)
        return bytes;
    const auto host = hostPart(member.gossipAddress);
    for (const std::string_view text : { std::string_view(member.region.text()), std::string_view(member.failureDomain.text()), std::string_view(member.gossipAddress),
             withoutSharedHost(member.callerAddress, host), withoutSharedHost(member.innerAddress, host), withoutSharedHost(member.operatorAddress, host) })
        bytes += textBytes(text);
    return bytes;
}

size_t SwimCodec::sizeOf(const GossipEntry& entry)
{
    return 2 + textBytes(entry.member.text()) + numberBytes(entry.version) + 2 + entry.payload.size();
}

bool SwimCodec::isAuthentic(std::span<const uint8_t> tag, std::span<const uint8_t> body) const
{
    for (const auto* key : { &m_signingKey, &m_acceptedKey }) {
        if (key->empty())
            continue;
        const auto code = authenticationCode(*key, body);
        if (CRYPTO_memcmp(code.data(), tag.data(), tagBytes) == 0)
            return true;
    }
    return false;
}

}
