#include "SettingsDocument.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <unordered_map>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace borageslip {

namespace {

    std::string joinPath(const std::vector<std::string>& context)
    {
        std::string path;
        for (const auto& part : context) {
            if (part == "<root>")
                continue;
            // valijson writes members as ["name"] and elements as [0].
            auto name = part;
            for (const char bracket : { '[', ']', '"' })
                name.erase(std::remove(name.begin(), name.end(), bracket), name.end());
            path += "/" + name;
        }
        return path;
    }

    // A process validates against the few schemas of schemas/; the limit bounds the memory for any other use.
    constexpr size_t maxCompiledSchemas = 16;

    /** Returns the compiled schema; equal schemas are compiled once. Validation only reads it, so threads may share it. */
    std::shared_ptr<const valijson::Schema> compiledSchema(const nlohmann::json& schema)
    {
        static std::mutex s_mutex;
        static std::unordered_map<nlohmann::json, std::shared_ptr<const valijson::Schema>> s_compiled;
        const std::lock_guard lock(s_mutex);
        if (const auto found = s_compiled.find(schema); found != s_compiled.end())
            return found->second;
        auto compiled = std::make_shared<valijson::Schema>();
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), *compiled);
        if (s_compiled.size() < maxCompiledSchemas)
            s_compiled.emplace(schema, compiled);
        return compiled;
    }

}

std::vector<FieldProblem> validateAgainstSchema(const nlohmann::json& document, const nlohmann::json& schema)
{
    const auto compiled = compiledSchema(schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter documentAdapter(document);
    if (validator.validate(*compiled, documentAdapter, &results))
        return {};
    std::vector<FieldProblem> problems;
    valijson::ValidationResults::Error problem;
    while (results.popError(problem))
        problems.push_back({ joinPath(problem.context), problem.description });
    if (problems.empty())
        problems.push_back({ "", "a document that fits the schema" });
    return problems;
}

Result<nlohmann::json> parseValidated(std::string_view text, const nlohmann::json& schema)
{
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return Error { ErrorKind::InvalidSettings, "the text is not valid JSON" };
    const auto problems = validateAgainstSchema(document, schema);
    if (problems.empty())
        return document;
    std::string detail;
    for (const auto& problem : problems) {
        if (!detail.empty())
            detail += "; ";
        detail += (problem.path.empty() ? "/" : problem.path) + ": " + problem.expected;
    }
    return Error { ErrorKind::InvalidSettings, detail };
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error { ErrorKind::InvalidSettings, "cannot read " + path };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Result<nlohmann::json> readSettings(const std::string& path, const nlohmann::json& schema)
{
    const auto text = readFile(path);
    if (!isOk(text))
        return error(text);
    auto document = parseValidated(value(text), schema);
    if (!isOk(document))
        return Error { ErrorKind::InvalidSettings, path + ": " + error(document).detail };
    return document;
}

}
