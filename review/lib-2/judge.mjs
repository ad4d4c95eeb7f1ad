// What the scripts derive from the records of clients and servers.

/** Returns the time of a moment since the start of the record, in seconds. */
export const formatTime = (record, at) => ((at - record.startedAt) / 1_000).toFixed(3);

/** Returns the runs of all servers by the id of their request. */
export const mapRuns = servers =>
    new Map(
        servers.flatMap(server =>
            server.runs.map(run => [run.attemptId, { ...run, service: server.service }])
        ),
    );

/** Adds a line for each request: when it was sent, its answer, and where it ran. */
export const addRequests = (record, requests, runs, describe = () => "") => {
    requests.forEach(request => {
        const { attemptId, front, sentAt, endedAt, status, problem } = request;
        const run = runs.get(attemptId);
        const end = run === undefined
            ? "not run"
            : `run at ${formatTime(record, run.at)} by ${run.server} of ${run.service}`;
        const answer = `${status || problem} at ${formatTime(record, endedAt)}`;
        record.addPlain(
            `${formatTime(record, sentAt)} request ${attemptId} ${
                describe(request)
            }to ${front}: ${answer}, ${end}`,
        );
    });
};
