package cedarrudder.lab.model;

/** Something that happens at an instant of a run. It waits in the agenda once at most. */
public abstract class Task {

    /** Where it stands in the agenda's heap; -1: nowhere. */
    int place = -1;

    /** It is due. */
    protected abstract void run();
}
