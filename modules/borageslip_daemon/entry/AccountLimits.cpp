#include "AccountLimits.h"

#include <algorithm>
#include <borageslip_core/encoding/Cbor.h>
#include <utility>

namespace borageslip {

namespace {

    /** Returns the placeable members of all regions. With one home per region, an account would get its whole rate in
        each region. */
    std::vector<MemberId> placeableMembers(const FleetView& fleet)
    {
        std::vector<MemberId> ids;
        for (const auto& member : fleet.members()) {
            if (member.isPlaceable && member.state != MemberState::Leaving)
                ids.push_back(member.id);
        }
        return ids;
    }

    const MemberId* homeOf(const AccountId& account, std::span<const MemberId> members)
    {
        const auto key = hashBytes(account.text());
        const auto score = [key](const MemberId& member) { return hashPair(key, hashBytes(member.text())); };
        const auto best = std::max_element(members.begin(), members.end(), [&](const auto& left, const auto& right) { return score(left) < score(right); });
        return best == members.end() ? nullptr : &*best;
    }

}

AccountLimits::AccountLimits(const Clock& clock, MemberId self)
    : m_clock(clock)
    , m_self(std::move(self))
{
}

Status AccountLimits::acquire(const AccountId& account, const AccountSettings& definition)
{
    if (!definition.requestsPerSecond)
        return ok();
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    auto found = m_limiters.find(account);
    if (found == m_limiters.end()) {
        AccountLimiter::Settings settings;
        settings.fleetRate = *definition.requestsPerSecond;
        found = m_limiters.emplace(account, AccountLimiter(settings, now)).first;
    }
    return found->second.tryAcquire(1, now);
}

bool AccountLimits::isReportDue()
{
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_limiters.begin(), m_limiters.end(), [now](const auto& entry) { return entry.second.isReportDue(now); });
}

std::vector<AccountLimits::Report> AccountLimits::takeReports(const FleetView& fleet)
{
    const auto now = m_clock.now();
    const auto members = placeableMembers(fleet);
    std::map<MemberId, Report> reports;
    const std::lock_guard lock(m_mutex);
    for (auto it = m_limiters.begin(); it != m_limiters.end();) {
        auto& [account, limiter] = *it;
        const auto definition = fleet.configuration().accounts().find(account);
        const auto* home = homeOf(account, members);
        if (definition == fleet.configuration().accounts().end() || !definition->second.requestsPerSecond) {
            m_isIdle.erase(account);
            it = m_limiters.erase(it);
            continue;
        }
        limiter.setFleetRate(*definition->second.requestsPerSecond, static_cast<int>(std::max<size_t>(1, members.size())));
        const double demand = limiter.takeDemandRate(now);
        // A single report without demand marks this daemon as idle at the home; repeating it would only add control traffic.
        const bool wasIdle = std::exchange(m_isIdle[account], demand == 0);
        const auto* member = home ? fleet.member(*home) : nullptr;
        if (member && !(wasIdle && demand == 0)) {
            auto& report = reports[*home];
            report.home = *home;
            report.address = member->innerAddress;
            report.rows.push_back({ account, demand });
        }
        ++it;
    }
    std::vector<Report> list;
    list.reserve(reports.size());
    for (auto& [home, report] : reports)
        list.push_back(std::move(report));
    return list;
}

void AccountLimits::applyShares(std::span<const AccountRate> shares)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& row : shares) {
        const auto found = m_limiters.find(row.account);
        if (found != m_limiters.end())
            found->second.setShare(row.rate, m_clock.now());
    }
}

std::vector<AccountLimits::AccountRate> AccountLimits::allocateShares(const FleetView& fleet, const MemberId& reporter, std::span<const AccountRate> demands)
{
    const auto now = m_clock.now();
    const auto members = placeableMembers(fleet);
    std::vector<AccountRate> shares;
    const std::lock_guard lock(m_mutex);
    for (const auto& row : demands) {
        const auto definition = fleet.configuration().accounts().find(row.account);
        if (definition == fleet.configuration().accounts().end() || !definition->second.requestsPerSecond)
            continue;
        AccountShareCalculator::Settings settings;
        settings.fleetRate = *definition->second.requestsPerSecond;
        auto& calculator = m_calculators.try_emplace(row.account, settings).first->second;
        calculator.setFleetRate(settings.fleetRate);
        calculator.setMembers(members);
        calculator.report(reporter, row.rate, now);
        for (const auto& share : calculator.shares(now)) {
            if (share.member == reporter)
                shares.push_back({ row.account, share.share });
        }
    }
    return shares;
}

std::string AccountLimits::encode(const MemberId& reporter, std::span<const AccountRate> rows)
{
    auto list = nlohmann::json::array({ reporter.text() });
    for (const auto& row : rows) {
        list.push_back(row.account.text());
        list.push_back(static_cast<float>(row.rate));
    }
    const auto bytes = nlohmann::json::to_cbor(list);
    return { bytes.begin(), bytes.end() };
}

Result<AccountLimits::Decoded> AccountLimits::decode(std::string_view bytes)
{
    const Error malformed { ErrorKind::InvalidMessage, "malformed usage report" };
    const auto list = parseCbor(bytes);
    if (!list.is_array() || list.empty() || list.size() % 2 == 0 || !list[0].is_string())
        return malformed;
    Decoded decoded;
    decoded.reporter = MemberId(list[0].get<std::string>());
    for (size_t i = 1; i < list.size(); i += 2) {
        if (!list[i].is_string() || !list[i + 1].is_number() || !(list[i + 1].get<double>() >= 0))
            return malformed;
        decoded.rows.push_back({ AccountId(list[i].get<std::string>()), list[i + 1].get<double>() });
    }
    return decoded;
}

}
