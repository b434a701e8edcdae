#include <Cyclamenstair/Codec/EntryMessages.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Generated/Entry_generated.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenstair {

namespace {

    /// Returns `count` limited to the range of the schema's 16-bit counts.
    uint16_t saturatedCount(uint32_t count)
    {
        return static_cast<uint16_t>(std::min<uint32_t>(count, std::numeric_limits<uint16_t>::max()));
    }

    using TargetLoadRows = std::vector<std::unique_ptr<schema::TargetLoadRowT>>;

    TargetLoadRows toRows(const TargetWorkloads& loads)
    {
        TargetLoadRows rows;
        rows.reserve(loads.size());
        for (const auto& [target, load] : loads) {
            auto row = std::make_unique<schema::TargetLoadRowT>();
            row->target = target;
            row->in_flight = saturatedCount(load.inFlight);
            row->unread_tokens = load.pendingPromptTokens;
            row->overdue = saturatedCount(load.overdue);
            row->answers = saturatedCount(load.answers);
            row->beyond_share = saturatedCount(load.beyondShare);
            row->brittle_limit = load.brittleLimit;
            rows.push_back(std::move(row));
        }
        return rows;
    }

    TargetWorkloads fromRows(const TargetLoadRows& rows)
    {
        TargetWorkloads loads;
        for (const auto& row : rows)
            loads[row->target] = { row->in_flight, row->unread_tokens, row->overdue, row->answers, row->beyond_share,
                row->brittle_limit };
        return loads;
    }

    schema::LoadShareT toRecord(const LoadShare& share)
    {
        schema::LoadShareT record;
        record.node = share.node;
        record.targets = toRows(share.loads);
        record.collected = share.isCollected;
        record.isolated_nodes.assign(share.isolatedNodes.begin(), share.isolatedNodes.end());
        return record;
    }

    schema::LoadSummaryT toRecord(const LoadSummary& summary)
    {
        schema::LoadSummaryT record;
        record.node = summary.node;
        record.targets = toRows(summary.loads);
        record.store_sequence = summary.storeSequence;
        record.isolated_nodes.assign(summary.isolatedNodes.begin(), summary.isolatedNodes.end());
        return record;
    }

    schema::StoreUpdateT toRecord(const StoreUpdate& update)
    {
        schema::StoreUpdateT record;
        record.node = update.node;
        record.sequence = update.sequence;
        record.prefix = update.prefix;
        record.full = update.isFull;
        record.revision = update.changes.revision;
        for (const auto& change : update.changes.changes) {
            auto row = std::make_unique<schema::StoreRecordRowT>();
            row->key = change.record.key;
            row->value.assign(change.record.value.begin(), change.record.value.end());
            row->revision = change.record.modRevision;
            row->deleted = change.isDeleted;
            record.rows.push_back(std::move(row));
        }
        return record;
    }

    StoreUpdate fromRecord(const schema::StoreUpdateT& record)
    {
        StoreUpdate update { record.node, record.sequence, record.prefix, record.full, { {}, record.revision } };
        for (const auto& row : record.rows) {
            update.changes.changes.push_back(
                { { row->key, { row->value.begin(), row->value.end() }, row->revision, 0 }, row->deleted });
        }
        return update;
    }

    schema::DemandShareT toRecord(const DemandShare& share)
    {
        schema::DemandShareT record;
        record.node = share.node;
        for (const auto& [artifact, load] : share.demands) {
            auto row = std::make_unique<schema::ArtifactLoadRowT>();
            row->service = artifact.service;
            row->model = artifact.model;
            row->adapter = artifact.adapter;
            row->arrivals_per_second = static_cast<float>(load.arrivalsPerSecond);
            row->in_progress = load.inProgress;
            row->waiting = load.waiting;
            record.demands.push_back(std::move(row));
        }
        for (const auto& [target, models] : share.modelRuns) {
            for (const auto& [model, inFlight] : models) {
                auto row = std::make_unique<schema::ModelRunsRowT>();
                row->target = target;
                row->model = model;
                row->in_flight = saturatedCount(inFlight);
                record.model_runs.push_back(std::move(row));
            }
        }
        return record;
    }

    schema::SnapshotT toRecord(const Snapshot& snapshot)
    {
        schema::SnapshotT record;
        record.catalog = snapshot.catalog;
        record.targets_known = snapshot.areTargetsKnown;
        for (const auto& target : snapshot.targets) {
            auto row = std::make_unique<schema::TargetEntryRowT>();
            row->id = target.id;
            row->entry = target.entry;
            row->revision = target.revision;
            record.targets.push_back(std::move(row));
        }
        for (const auto& version : snapshot.versions) {
            auto row = std::make_unique<schema::ServiceVersionEntryT>();
            row->service = version.service;
            row->version = version.version;
            record.versions.push_back(std::move(row));
        }
        record.versions_known = snapshot.areVersionsKnown;
        return record;
    }

    schema::ResidencyNoticeT toRecord(const ResidencyNotice& notice)
    {
        schema::ResidencyNoticeT record;
        record.target = notice.target;
        record.service = notice.service;
        for (const auto& model : notice.models) {
            auto row = std::make_unique<schema::HeldModelRowT>();
            row->name = model.name;
            row->adapters.assign(model.adapters.begin(), model.adapters.end());
            record.models.push_back(std::move(row));
        }
        return record;
    }

    ResidencyNotice fromRecord(const schema::ResidencyNoticeT& record)
    {
        ResidencyNotice notice { record.target, record.service, {} };
        for (const auto& row : record.models)
            notice.models.push_back({ row->name, { row->adapters.begin(), row->adapters.end() } });
        return notice;
    }

    /// Returns a duration in milliseconds, limited to the range of the schema's 32-bit times.
    uint32_t saturatedMilliseconds(Duration duration)
    {
        return static_cast<uint32_t>(
            std::clamp<int64_t>(toMilliseconds(duration), 0, std::numeric_limits<uint32_t>::max()));
    }

    schema::QuarantineShareT toRecord(const QuarantineShare& share)
    {
        schema::QuarantineShareT record;
        record.node = share.node;
        for (const auto& part : share.parts) {
            auto row = std::make_unique<schema::PromptPartRowT>();
            row->part = part.part;
            row->generation = part.generation;
            row->had_continued = part.hadContinuedAnswers;
            row->quarantine_left_ms = saturatedMilliseconds(part.quarantineLeft);
            row->quarantine_count = part.quarantineCount;
            for (const auto& answer : part.lostAnswers) {
                auto answerRow = std::make_unique<schema::LostAnswerRowT>();
                answerRow->attempt = answer.attempt;
                answerRow->request = answer.request;
                answerRow->age_ms = saturatedMilliseconds(answer.age);
                row->lost_answers.push_back(std::move(answerRow));
            }
            record.parts.push_back(std::move(row));
        }
        return record;
    }

    QuarantineShare fromRecord(const schema::QuarantineShareT& record)
    {
        QuarantineShare share { record.node, {} };
        for (const auto& row : record.parts) {
            PartRow part { row->part, row->generation, {}, row->had_continued, milliseconds(row->quarantine_left_ms),
                row->quarantine_count };
            for (const auto& answer : row->lost_answers)
                part.lostAnswers.push_back({ answer->attempt, answer->request, milliseconds(answer->age_ms) });
            share.parts.push_back(std::move(part));
        }
        return share;
    }

    using TeamUsageRows = std::vector<std::unique_ptr<schema::TeamUsageRowT>>;

    TeamUsageRows toRows(const TeamUsages& usages)
    {
        TeamUsageRows rows;
        for (const auto& [team, usage] : usages) {
            auto row = std::make_unique<schema::TeamUsageRowT>();
            row->team = team;
            row->offered = usage.offered;
            row->admitted = usage.admitted;
            rows.push_back(std::move(row));
        }
        return rows;
    }

    /// Rates that are not finite or negative count as none, so that a faulty peer cannot block a team for good.
    TeamUsages fromRows(const TeamUsageRows& rows)
    {
        const auto sanitised = [](double rate) { return std::isfinite(rate) ? std::max(0.0, rate) : 0.0; };
        TeamUsages usages;
        for (const auto& row : rows)
            usages[row->team] = { sanitised(row->offered), sanitised(row->admitted) };
        return usages;
    }

    schema::UsageShareT toRecord(const UsageShare& share)
    {
        schema::UsageShareT record;
        record.node = share.node;
        record.teams = toRows(share.usage);
        record.node_count = share.nodeCount;
        record.collected = share.isCollected;
        record.catalog_version = share.catalogVersion;
        return record;
    }

    schema::UsageSummaryT toRecord(const UsageSummary& summary)
    {
        schema::UsageSummaryT record;
        record.node = summary.node;
        record.teams = toRows(summary.usage);
        record.node_count = summary.nodeCount;
        record.catalog_version = summary.catalogVersion;
        return record;
    }

    DemandShare fromRecord(const schema::DemandShareT& record)
    {
        DemandShare share;
        share.node = record.node;
        for (const auto& row : record.demands)
            share.demands[{ row->service, row->model, row->adapter }]
                = { row->arrivals_per_second, row->in_progress, row->waiting };
        for (const auto& row : record.model_runs)
            share.modelRuns[row->target][row->model] = row->in_flight;
        return share;
    }

    schema::StreamOriginShareT toRecord(const StreamOriginShare& share)
    {
        std::map<std::string, std::vector<uint64_t>> requestsByVersion;
        for (const auto& origin : share.origins)
            requestsByVersion[origin.version].push_back(origin.request);
        schema::StreamOriginShareT record;
        record.node = share.node;
        for (auto& [version, requests] : requestsByVersion) {
            auto row = std::make_unique<schema::StreamOriginRowT>();
            row->version = version;
            row->requests = std::move(requests);
            record.origins.push_back(std::move(row));
        }
        return record;
    }

    StreamOriginShare fromRecord(const schema::StreamOriginShareT& record)
    {
        StreamOriginShare share { record.node, {} };
        for (const auto& row : record.origins) {
            for (const auto request : row->requests)
                share.origins.push_back({ request, row->version });
        }
        return share;
    }

    Snapshot fromRecord(const schema::SnapshotT& record)
    {
        Snapshot snapshot { record.catalog, {}, record.targets_known, {}, record.versions_known };
        for (const auto& row : record.versions)
            snapshot.versions.insert({ row->service, row->version });
        for (const auto& row : record.targets)
            snapshot.targets.push_back({ row->id, row->entry, row->revision });
        return snapshot;
    }

} // namespace

std::string encodeEntryMessage(const EntryMessage& message)
{
    schema::EntryMessageT record;
    std::visit(Overloaded {
                   [&](const LoadShare& share) { record.content.Set(toRecord(share)); },
                   [&](const SnapshotRequest& request) {
                       schema::SnapshotRequestT content;
                       content.node = request.node;
                       content.catalog_only = request.isCatalogOnly;
                       record.content.Set(std::move(content));
                   },
                   [&](const Snapshot& snapshot) { record.content.Set(toRecord(snapshot)); },
                   [&](const ResidencyNotice& notice) { record.content.Set(toRecord(notice)); },
                   [&](const DemandShare& share) { record.content.Set(toRecord(share)); },
                   [&](const LoadSummary& summary) { record.content.Set(toRecord(summary)); },
                   [&](const StoreSyncRequest& request) {
                       schema::StoreSyncRequestT content;
                       content.node = request.node;
                       record.content.Set(std::move(content));
                   },
                   [&](const StoreUpdate& update) { record.content.Set(toRecord(update)); },
                   [&](const QuarantineShare& share) { record.content.Set(toRecord(share)); },
                   [&](const UsageShare& share) { record.content.Set(toRecord(share)); },
                   [&](const UsageSummary& summary) { record.content.Set(toRecord(summary)); },
                   [&](const StreamOriginShare& share) { record.content.Set(toRecord(share)); },
                   [](const UnknownMessage&) {},
               },
        message);
    return packRecord<schema::EntryMessage>(record);
}

EntryMessage decodeEntryMessage(std::string_view bytes)
{
    const auto record = unpackRecord<schema::EntryMessage>(bytes, "entry_message.decode");
    if (const auto* share = record.content.AsLoadShare())
        return LoadShare { share->node, fromRows(share->targets), share->collected,
            { share->isolated_nodes.begin(), share->isolated_nodes.end() } };
    if (const auto* summary = record.content.AsLoadSummary())
        return LoadSummary { summary->node, fromRows(summary->targets), summary->store_sequence,
            { summary->isolated_nodes.begin(), summary->isolated_nodes.end() } };
    if (const auto* share = record.content.AsDemandShare())
        return fromRecord(*share);
    if (const auto* request = record.content.AsStoreSyncRequest())
        return StoreSyncRequest { request->node };
    if (const auto* update = record.content.AsStoreUpdate())
        return fromRecord(*update);
    if (const auto* request = record.content.AsSnapshotRequest())
        return SnapshotRequest { request->node, request->catalog_only };
    if (const auto* snapshot = record.content.AsSnapshot())
        return fromRecord(*snapshot);
    if (const auto* notice = record.content.AsResidencyNotice())
        return fromRecord(*notice);
    if (const auto* share = record.content.AsQuarantineShare())
        return fromRecord(*share);
    if (const auto* share = record.content.AsUsageShare())
        return UsageShare { share->node, fromRows(share->teams), share->node_count, share->collected,
            share->catalog_version };
    if (const auto* summary = record.content.AsUsageSummary())
        return UsageSummary { summary->node, fromRows(summary->teams), summary->node_count, summary->catalog_version };
    if (const auto* share = record.content.AsStreamOriginShare())
        return fromRecord(*share);
    if (record.content.type > schema::EntryContent::MAX)
        return UnknownMessage { static_cast<uint8_t>(record.content.type) };
    throw Exception({ ErrorKind::InvalidInput, "entry_message.decode", "", "expected a message with content" });
}

} // namespace cyclamenstair
