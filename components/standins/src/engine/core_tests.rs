use super::*;

fn sequence(name: &str, prompt: u32, output: u32) -> Sequence {
    Sequence {
        generation: name.into(),
        priority: 0,
        arrival: 0,
        prompt_tokens: prompt,
        prefix: None,
        output_tokens: output,
        generated: 0,
        prefill_left: prompt,
    }
}

#[test]
fn preempts_the_last_when_memory_fills_midway() {
    let settings = EngineSettings {
        kv_capacity_tokens: 50,
        ..EngineSettings::default()
    };
    let mut core = Core::default();
    core.add(sequence("first", 10, 30));
    core.add(sequence("second", 10, 30));
    let mut order = Vec::new();
    while let Some((made, _)) = core.step(&settings, 0) {
        order.extend(
            made.into_iter()
                .filter(|t| t.finished)
                .map(|t| t.generation),
        );
    }
    assert_eq!(order, ["first", "second"]);
    assert!(core.preemptions >= 1);
}

#[test]
fn runs_without_preemption_where_memory_suffices() {
    let settings = EngineSettings::default();
    let mut core = Core::default();
    core.add(sequence("only", 10, 5));
    let mut tokens = 0;
    while let Some((made, _)) = core.step(&settings, 0) {
        tokens += made.len();
    }
    assert_eq!((tokens, core.preemptions), (5, 0));
}
