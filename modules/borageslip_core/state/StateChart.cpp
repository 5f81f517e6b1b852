#include "StateChart.h"

#include "../settings/SettingsDocument.h"
#include "EmbeddedCharts.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

namespace borageslip {

namespace {

    const nlohmann::json& chartSchema()
    {
        static const auto s_schema = nlohmann::json::parse(R"({
            "type": "object", "required": ["name", "initial", "states"], "additionalProperties": false,
            "properties": {
                "name": { "type": "string" }, "initial": { "type": "string" }, "description": { "type": "string" },
                "states": { "type": "object", "additionalProperties": {
                    "type": "object", "additionalProperties": false, "properties": {
                        "description": { "type": "string" },
                        "flags": { "type": "array", "items": { "type": "string" } },
                        "on": { "type": "object", "additionalProperties": { "type": "string" } } } } } } })");
        return s_schema;
    }

    StateChart::State stateFromJson(const nlohmann::json& body)
    {
        StateChart::State state;
        if (const auto flags = body.find("flags"); flags != body.end())
            state.flags.insert(flags->begin(), flags->end());
        if (const auto transitions = body.find("on"); transitions != body.end()) {
            for (const auto& [event, target] : transitions->items())
                state.transitions.emplace(event, target);
        }
        return state;
    }

    std::set<std::string> reachableStates(const StateChart& chart)
    {
        std::set<std::string> seen { chart.initial() };
        std::vector<std::string> open { chart.initial() };
        while (!open.empty()) {
            const auto name = open.back();
            open.pop_back();
            for (const auto& [event, target] : chart.states().find(name)->second.transitions) {
                if (seen.insert(target).second)
                    open.push_back(target);
            }
        }
        return seen;
    }

}

Result<StateChart> StateChart::parse(std::string_view json)
{
    const auto document = parseValidated(json, chartSchema());
    if (!isOk(document))
        return error(document);
    StateChart chart;
    const auto& root = value(document);
    chart.m_name = root["name"];
    chart.m_initial = root["initial"];
    for (const auto& [name, body] : root["states"].items())
        chart.m_states.emplace(name, stateFromJson(body));
    const auto invalid = [&](const std::string& detail) { return Error { ErrorKind::InvalidSettings, "chart " + chart.m_name + ": " + detail }; };
    if (!chart.m_states.contains(chart.m_initial))
        return invalid("unknown initial state " + chart.m_initial);
    for (const auto& [name, state] : chart.m_states) {
        for (const auto& [event, target] : state.transitions) {
            if (!chart.m_states.contains(target))
                return invalid("state " + name + " leads to unknown state " + target);
        }
    }
    if (reachableStates(chart).size() != chart.m_states.size())
        return invalid("some states cannot be reached");
    return chart;
}

const StateChart& StateChart::named(std::string_view name)
{
    static std::mutex s_mutex;
    static std::map<std::string, StateChart, std::less<>> s_charts;
    const std::lock_guard lock(s_mutex);
    if (const auto found = s_charts.find(name); found != s_charts.end())
        return found->second;
    for (const auto& embedded : embeddedCharts()) {
        if (embedded.name != name)
            continue;
        auto chart = parse(embedded.json);
        if (!isOk(chart))
            throw std::logic_error(error(chart).detail);
        return s_charts.emplace(std::string(name), value(std::move(chart))).first->second;
    }
    throw std::logic_error("no state chart named " + std::string(name));
}

StateChartInstance::StateChartInstance(const StateChart& chart)
    : m_chart(&chart)
    , m_current(chart.initial())
{
}

const StateChart::State& StateChartInstance::state() const
{
    return m_chart->states().find(m_current)->second;
}

Status StateChartInstance::fire(std::string_view event)
{
    const auto& transitions = state().transitions;
    const auto found = transitions.find(event);
    if (found == transitions.end())
        return Error { ErrorKind::Internal, "chart " + m_chart->name() + ": no event " + std::string(event) + " in state " + m_current };
    m_current = found->second;
    return ok();
}

bool StateChartInstance::canFire(std::string_view event) const
{
    return state().transitions.contains(event);
}

bool StateChartInstance::hasFlag(std::string_view flag) const
{
    return state().flags.contains(flag);
}

bool StateChartInstance::isFinal() const
{
    return state().transitions.empty();
}

}
